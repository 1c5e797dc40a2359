package contract

import (
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"strings"
	"testing"

	"bramblespur/internal/peer"
	"bramblespur/internal/wire"
)

// gobLayouts are the messages between controllers. Gob matches fields by name, so a renamed field
// would arrive empty without an error.
var gobLayouts = []struct {
	name  string
	value any
}{
	{"Sync arguments", peer.SyncArgs{}},
	{"Sync reply", peer.SyncReply{}},
	{"Nudge arguments", peer.NotifyArgs{}},
	{"Report arguments", wire.Heartbeat{}},
	{"Report reply", peer.HeartbeatReply{}},
	{"User arguments", peer.UserArgs{}},
	{"User reply", peer.UserReply{}},
	{"Lend arguments", peer.LoanArgs{}},
	{"Evidence arguments", peer.EvidenceArgs{}},
	{"Evidence reply", peer.EvidenceReply{}},
	{"Status reply", wire.Status{}},
}

// fieldName names a field as gob does.
func fieldName(f reflect.StructField) string { return f.Name }

// The fields of every message keep their names, kinds and order. Their bytes are then the same except
// for the names of Go types, which gob does not compare.
func TestPeerMessagesKeepTheirFields(t *testing.T) {
	var got []string
	for _, x := range gobLayouts {
		for _, field := range shape(reflect.TypeOf(x.value), "", fieldName) {
			got = append(got, x.name+": "+field)
		}
	}
	golden(t, "peer-fields.golden", got)
}

// A message of the earlier version is decoded with all its fields, and a truncated one is an error.
func TestPeerMessagesAreReadAsSent(t *testing.T) {
	if *update {
		var written []string
		for _, x := range gobLayouts {
			var b bytes.Buffer
			if err := gob.NewEncoder(&b).EncodeValue(filled(x.value, fieldName)); err != nil {
				t.Fatal(err)
			}
			written = append(written, x.name+"\t"+base64.StdEncoding.EncodeToString(b.Bytes()))
		}
		golden(t, "peer.golden", written)
	}
	layouts := readLayouts(t, "testdata/peer.golden")
	for _, x := range gobLayouts {
		sent, err := base64.StdEncoding.DecodeString(layouts[x.name])
		if err != nil {
			t.Fatal(err)
		}
		read := reflect.New(reflect.TypeOf(x.value))
		if err := gob.NewDecoder(bytes.NewReader(sent)).DecodeValue(read); err != nil {
			t.Errorf("%s: %v", x.name, err)
		}
		if want := filled(x.value, fieldName).Interface(); !reflect.DeepEqual(read.Elem().Interface(), want) {
			t.Errorf("%s: read\n%+v, want\n%+v", x.name, read.Elem(), want)
		}
		for at := 0; at < len(sent); at += 1 + len(sent)/9 {
			if err := gob.NewDecoder(bytes.NewReader(sent[:at])).DecodeValue(reflect.New(reflect.TypeOf(x.value))); err == nil {
				t.Errorf("%s: its first %d bytes are decoded without an error", x.name, at)
			}
		}
	}
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct{ conns chan net.Conn }

func (l singleConnListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l singleConnListener) Close() error   { return nil }
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// malformedOnlyHandler is a handler that ignores malformed messages and is called for no others.
type malformedOnlyHandler struct{ peer.Handler }

func (malformedOnlyHandler) Malformed(string, error) {}

// Every method can be called by its name. Arguments of a wrong type show that a method exists without
// executing it.
func TestPeerMethodsKeepTheirNames(t *testing.T) {
	l := singleConnListener{make(chan net.Conn, 1)}
	defer close(l.conns)
	clientConn, serverConn := net.Pipe()
	l.conns <- serverConn
	go peer.Serve(l, malformedOnlyHandler{}, 1)
	c := rpc.NewClient(clientConn)
	defer c.Close()
	if err := c.Call("Controller.Nothing", "", new(int)); err == nil || !strings.Contains(err.Error(), "can't find method") {
		t.Fatalf("unknown method: error %v, want that it cannot be found", err)
	}
	for _, method := range []string{"Sync", "Nudge", "Report", "User", "Ping", "Format", "Lend", "Evidence", "Status"} {
		if err := c.Call("Controller."+method, []complex128{1}, new(int)); err == nil || err == io.EOF || strings.Contains(err.Error(), "can't find") || !strings.Contains(err.Error(), "type") {
			t.Errorf("%s: error %v, want one about the type of the arguments", method, err)
		}
	}
	var got []string
	for service, i := reflect.TypeFor[*peer.Service](), 0; i < service.NumMethod(); i++ {
		m := service.Method(i)
		got = append(got, fmt.Sprintf("%s %d", m.Name, m.Type.NumIn()))
	}
	golden(t, "peer-methods.golden", got)
}
