// Package httpwire is the project's HTTP/1.1: an incremental parser for both
// sides, response writing, and a pooled client. It does no pipelining and
// bounds every size.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits of what a peer may send.
const (
	MaxHead = 16 << 10 // bytes of start line and headers
	MaxBody = 64 << 10 // bytes of a request's body
	// MaxRequest is how many bytes a request may take on its way, so how many its
	// receiver has to keep of one that is not complete.
	MaxRequest = MaxHead + MaxBody + MaxBody/chunkShare + leastOverhead
)

// A chunked body may be larger on its way by a part of what it holds and a little
// more: chunks of a few bytes each, or with long extensions, serve nobody.
const (
	chunkShare    = 4
	leastOverhead = 1 << 10
	maxChunkLine  = 256 // bytes of a chunk's size and extensions
)

// Errors of the parser. After any of them the connection must be closed.
var (
	ErrMalformed = errors.New("httpwire: malformed message")
	ErrTooLarge  = errors.New("httpwire: message too large")
)

// Request is a parsed request.
type Request struct {
	Method string
	Path   string
	Query  string
	Body   []byte
	Close  bool
}

// Response is a parsed response.
type Response struct {
	Status     int
	RetryAfter string
	Body       []byte
	Close      bool
}

// ParseRequest parses one request at the start of buf. It returns the bytes
// used, 0 if buf does not yet hold a whole request. The body is a copy.
func ParseRequest(buf []byte) (Request, int, error) {
	var r Request
	line, headers, n, err := head(buf)
	if n == 0 || err != nil {
		return r, 0, err
	}
	method, rest, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || method == "" || !strings.HasPrefix(target, "/") || (proto != "HTTP/1.1" && proto != "HTTP/1.0") {
		return r, 0, ErrMalformed
	}
	r.Method = method
	r.Path, r.Query, _ = strings.Cut(target, "?")
	f, err := framing(headers)
	if err != nil {
		return r, 0, err
	}
	r.Close = f.close || (proto == "HTTP/1.0" && !f.keep)
	body, used, err := readBody(buf[n:], f, MaxBody)
	if err != nil || used < 0 {
		return r, 0, err
	}
	r.Body = body
	return r, n + used, nil
}

// ParseResponse parses one response at the start of buf, allowing a body of
// max bytes. It returns the bytes used, 0 if more are needed.
func ParseResponse(buf []byte, max int) (Response, int, error) {
	var r Response
	line, headers, n, err := head(buf)
	if n == 0 || err != nil {
		return r, 0, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 || status > 599 || !strings.HasPrefix(proto, "HTTP/1.") {
		return r, 0, ErrMalformed
	}
	r.Status = status
	f, err := framing(headers)
	if err != nil {
		return r, 0, err
	}
	r.Close = f.close || (proto == "HTTP/1.0" && !f.keep)
	r.RetryAfter = f.retryAfter
	if status == 204 || status == 304 || status < 200 {
		return r, n, nil
	}
	if f.length < 0 && !f.chunked {
		return r, 0, ErrMalformed // a body until close is never sent by our peers
	}
	body, used, err := readBody(buf[n:], f, max)
	if err != nil || used < 0 {
		return r, 0, err
	}
	r.Body = body
	return r, n + used, nil
}

type frame struct {
	length      int // -1: not given
	chunked     bool
	close, keep bool
	retryAfter  string
}

// head splits off the start line and headers; n is 0 while they are incomplete.
func head(buf []byte) (line, headers string, n int, err error) {
	i := bytes.Index(buf, []byte("\r\n\r\n"))
	if i < 0 {
		if len(buf) > MaxHead {
			return "", "", 0, ErrTooLarge
		}
		return "", "", 0, nil
	}
	if i > MaxHead {
		return "", "", 0, ErrTooLarge
	}
	line, headers, _ = strings.Cut(string(buf[:i]), "\r\n")
	return line, headers, i + 4, nil
}

func framing(headers string) (frame, error) {
	f := frame{length: -1}
	for headers != "" {
		var h string
		h, headers, _ = strings.Cut(headers, "\r\n")
		name, value, ok := strings.Cut(h, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return f, ErrMalformed
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || (f.length >= 0 && f.length != int(n)) {
				return f, ErrMalformed
			}
			f.length = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return f, ErrMalformed
			}
			f.chunked = true
		case "connection":
			f.close = strings.EqualFold(value, "close")
			f.keep = strings.EqualFold(value, "keep-alive")
		case "retry-after":
			f.retryAfter = value
		}
	}
	if f.chunked && f.length >= 0 {
		return f, ErrMalformed
	}
	return f, nil
}

// readBody returns the body and the bytes it took, -1 if more are needed.
func readBody(buf []byte, f frame, max int) ([]byte, int, error) {
	if f.chunked {
		return readChunks(buf, max)
	}
	n := f.length
	if n < 0 {
		n = 0
	}
	if n > max {
		return nil, 0, ErrTooLarge
	}
	if len(buf) < n {
		return nil, -1, nil
	}
	if n == 0 {
		return nil, 0, nil
	}
	return bytes.Clone(buf[:n]), n, nil
}

// readChunks does the same with a chunked body.
func readChunks(buf []byte, max int) ([]byte, int, error) {
	var body []byte
	used := 0
	for {
		if used-len(body) > len(body)/chunkShare+leastOverhead {
			return nil, 0, ErrTooLarge
		}
		n, line, err := chunkSize(buf[used:])
		if err != nil {
			return nil, 0, err
		}
		if line == 0 {
			return nil, -1, nil
		}
		if n > max-len(body) {
			return nil, 0, ErrTooLarge
		}
		used += line
		if len(buf) < used+n+2 {
			return nil, -1, nil
		}
		if !bytes.Equal(buf[used+n:used+n+2], []byte("\r\n")) {
			return nil, 0, ErrMalformed // trailers are not accepted either
		}
		body = append(body, buf[used:used+n]...)
		used += n + 2
		if n == 0 {
			return body, used, nil
		}
	}
}

// chunkSize reads the line that begins a chunk: the chunk's size and the line's
// length, 0 if that is not complete.
func chunkSize(buf []byte) (size, line int, err error) {
	i := bytes.Index(buf[:min(len(buf), maxChunkLine)], []byte("\r\n"))
	if i < 0 {
		if len(buf) >= maxChunkLine {
			return 0, 0, ErrMalformed
		}
		return 0, 0, nil
	}
	digits, _, _ := strings.Cut(string(buf[:i]), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(n), i + 2, nil
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	409: "Conflict", 421: "Misdirected Request", 422: "Unprocessable Entity", 429: "Too Many Requests",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse writes a response. A retryAfter of 0 leaves the header out.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, close bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[status]...)
	dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	if close {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// AppendRequest writes a request.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if body != nil || method == "POST" {
		dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
