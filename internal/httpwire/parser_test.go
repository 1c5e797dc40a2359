package httpwire

import (
	"errors"
	"strings"
	"testing"
)

func TestParseRequestInPieces(t *testing.T) {
	whole := "POST /work?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	for i := range whole {
		if _, n, err := ParseRequest([]byte(whole[:i])); n != 0 || err != nil {
			t.Fatalf("after %d bytes: n %d, err %v", i, n, err)
		}
	}
	r, n, err := ParseRequest([]byte(whole + "GET"))
	if err != nil || n != len(whole) || r.Method != "POST" || r.Path != "/work" || r.Query != "x=1" || string(r.Body) != "body" || r.Close {
		t.Fatalf("got %+v, %d, %v", r, n, err)
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want error
	}{
		"no target":     {"GET\r\n\r\n", ErrMalformed},
		"not a path":    {"GET work HTTP/1.1\r\n\r\n", ErrMalformed},
		"other version": {"GET / HTTP/2\r\n\r\n", ErrMalformed},
		"bad header":    {"GET / HTTP/1.1\r\nHost a\r\n\r\n", ErrMalformed},
		"space in name": {"GET / HTTP/1.1\r\nContent-Length : 1\r\n\r\n", ErrMalformed},
		"two lengths":   {"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", ErrMalformed},
		"length sign":   {"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", ErrMalformed},
		"both framings": {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ErrMalformed},
		"large body":    {"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", ErrTooLarge},
		"endless head":  {"GET / HTTP/1.1\r\n" + strings.Repeat("a", MaxHead+1), ErrTooLarge},
		"bad chunk":     {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", ErrMalformed},
	} {
		if _, _, err := ParseRequest([]byte(c.in)); !errors.Is(err, c.want) {
			t.Errorf("%s: err %v, want %v", name, err, c.want)
		}
	}
}

func TestParseChunkedResponse(t *testing.T) {
	in := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\nRetry-After: 3\r\n\r\n3\r\nabc\r\n2;x\r\nde\r\n0\r\n\r\n"
	r, n, err := ParseResponse([]byte(in), 100)
	if err != nil || n != len(in) || string(r.Body) != "abcde" || !r.Close || r.RetryAfter != "3" {
		t.Fatalf("got %+v, %d, %v", r, n, err)
	}
	if _, _, err := ParseResponse([]byte(in), 4); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("err %v, want ErrTooLarge", err)
	}
}

func TestParseAppendedMessages(t *testing.T) {
	r, n, err := ParseRequest(AppendRequest(nil, "POST", "/a", "h", []byte("{}")))
	if err != nil || n == 0 || string(r.Body) != "{}" {
		t.Fatalf("got %+v, %d, %v", r, n, err)
	}
	resp, n, err := ParseResponse(AppendResponse(nil, 503, []byte("x"), 2, true), 10)
	if err != nil || n == 0 || resp.Status != 503 || resp.RetryAfter != "2" || !resp.Close || string(resp.Body) != "x" {
		t.Fatalf("got %+v, %d, %v", resp, n, err)
	}
}
