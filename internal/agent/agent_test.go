package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"

	"bramblespur/internal/httpwire"
)

// The client stops reading a response once the headers show that it is larger than any heartbeat.
// Otherwise large responses of many workers at a time could fill the memory.
func TestOversizedResponseIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxHeartbeat+1)
		_, _ = c.Read(make([]byte, 1<<10)) // the request
		_, _ = c.Read(make([]byte, 1))     // until the client closes the connection
	}()
	if _, err := (Client{}).RequestHeartbeat(context.Background(), listener.Addr().String()); !errors.Is(err, httpwire.ErrTooLarge) {
		t.Errorf("err %v, want ErrTooLarge", err)
	}
}
