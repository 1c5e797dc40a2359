package httpwire

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// The limit on the body alone does not bound a chunked request: chunks of one byte, and long extensions
// of each chunk, make a request much longer than its body. The overhead of chunks is limited as well.
func TestChunkOverheadIsBounded(t *testing.T) {
	head := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, chunk := range map[string]string{
		"one byte each":   "1\r\na\r\n",
		"long extensions": "1;" + strings.Repeat("x", maxChunkLine-10) + "\r\na\r\n",
	} {
		in := []byte(head)
		for len(in) < MaxRequest {
			in = append(in, chunk...)
		}
		if _, _, err := ParseRequest(in); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: err %v after %d bytes, want ErrTooLarge", name, err, len(in))
		}
	}
	if _, _, err := ParseRequest([]byte(head + "1;" + strings.Repeat("x", maxChunkLine))); !errors.Is(err, ErrMalformed) {
		t.Errorf("an endless extension: err %v, want ErrMalformed", err)
	}
}

// Chunks of the sizes that clients use are accepted up to the largest body.
func TestOrdinaryChunksAreAccepted(t *testing.T) {
	for _, size := range []int{512, 4096, MaxBody} {
		in := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		for sent := 0; sent < MaxBody; sent += size {
			in += fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("a", size))
		}
		in += "0\r\n\r\n"
		r, n, err := ParseRequest([]byte(in))
		if err != nil || n != len(in) || len(r.Body) != MaxBody {
			t.Errorf("chunks of %d: a body of %d bytes, %d of %d bytes used, err %v", size, len(r.Body), n, len(in), err)
		}
		if len(in) > MaxRequest {
			t.Errorf("chunks of %d: a request of %d bytes, more than MaxRequest", size, len(in))
		}
	}
}

// For any input, the parser returns a complete request, an error, or that more bytes are needed. It
// never needs more than MaxRequest bytes.
func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /work/run-000001 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
		"POST /work HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
		"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\n{}\r\n0\r\n\r\n",
		"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
		"\r\n\r\n", " / HTTP/1.1\r\n:\r\n\r\n", "GET / HTTP/1.1\r\nConnection: close\r\n\r\nGET",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r, n, err := ParseRequest(in)
		switch {
		case err != nil && n != 0:
			t.Errorf("a refused request used %d bytes, want 0", n)
		case n < 0 || n > len(in):
			t.Errorf("%d of %d bytes used", n, len(in))
		case len(r.Body) > MaxBody:
			t.Errorf("a body of %d bytes, more than MaxBody", len(r.Body))
		case err == nil && n == 0 && len(in) > MaxRequest:
			t.Errorf("incomplete after %d bytes, more than MaxRequest", len(in))
		}
	})
}

// For any input, the parser of responses returns a complete response within the limit, an error, or that
// more bytes are needed.
func FuzzParseResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 999 x\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		const maxBody = 64
		r, n, err := ParseResponse(in, maxBody)
		if n < 0 || n > len(in) || len(r.Body) > maxBody || (err != nil && n != 0) {
			t.Errorf("%d of %d bytes used, a body of %d bytes, err %v", n, len(in), len(r.Body), err)
		}
	})
}
