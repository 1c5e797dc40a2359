// Package httpwire implements HTTP/1.1: incremental parsers of requests and responses, functions that
// write both, and a client with a connection pool. The client does no pipelining, and the size of every
// message is limited.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"bramblespur/internal/wire"
)

// Limits on the size of a request.
const (
	MaxHead = 16 << 10     // bytes of start line and headers
	MaxBody = wire.MaxBody // bytes of a request's body
	// MaxRequest is the largest number of bytes of a request as it is sent, and thus of an
	// incomplete request that its receiver has to buffer.
	MaxRequest = MaxHead + MaxBody + MaxBody/chunkOverheadDivisor + minChunkOverhead
)

// The chunk headers of a chunked body may take a fraction of the body's size, 1/chunkOverheadDivisor,
// and minChunkOverhead bytes in addition. Chunks of a few bytes each, or with long extensions, have no
// use.
const (
	chunkOverheadDivisor = 4
	minChunkOverhead     = 1 << 10
	maxChunkLine         = 256 // bytes of the line with a chunk's size and extensions
)

// Errors of the parsers. After either of them the connection must be closed.
var (
	ErrMalformed = errors.New("httpwire: malformed message")
	ErrTooLarge  = errors.New("httpwire: message too large")
)

// Request is a parsed request. Close reports whether the connection is to be closed after the response.
type Request struct {
	Method string
	Path   string
	Query  string
	Body   []byte
	Close  bool
}

// Response is a parsed response. RetryAfter is the value of its header, empty if there is none. Close
// reports whether the connection cannot be used again.
type Response struct {
	Status     int
	RetryAfter string
	Body       []byte
	Close      bool
}

// ParseRequest parses one request at the start of buf and returns its length in bytes, or 0 if buf does
// not hold a whole request yet. The body is a copy.
func ParseRequest(buf []byte) (Request, int, error) {
	var r Request
	line, headers, n, err := splitHead(buf)
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
	f, err := parseFraming(headers)
	if err != nil {
		return r, 0, err
	}
	r.Close = f.close || (proto == "HTTP/1.0" && !f.keepAlive)
	body, used, err := readBody(buf[n:], f, MaxBody)
	if err != nil || used < 0 {
		return r, 0, err
	}
	r.Body = body
	return r, n + used, nil
}

// ParseResponse parses one response at the start of buf, with a body of at most max bytes, and returns
// its length in bytes, or 0 if buf does not hold a whole response yet. The body is a copy.
func ParseResponse(buf []byte, max int) (Response, int, error) {
	var r Response
	line, headers, n, err := splitHead(buf)
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
	f, err := parseFraming(headers)
	if err != nil {
		return r, 0, err
	}
	r.Close = f.close || (proto == "HTTP/1.0" && !f.keepAlive)
	r.RetryAfter = f.retryAfter
	if status == 204 || status == 304 || status < 200 {
		return r, n, nil
	}
	if f.length < 0 && !f.chunked {
		return r, 0, ErrMalformed // Our servers never send a body that ends with the connection.
	}
	body, used, err := readBody(buf[n:], f, max)
	if err != nil || used < 0 {
		return r, 0, err
	}
	r.Body = body
	return r, n + used, nil
}

// frame holds the headers that determine the framing of a message, and Retry-After.
type frame struct {
	length           int // of the body; -1 if not given
	chunked          bool
	close, keepAlive bool
	retryAfter       string
}

// splitHead splits a message into its start line and its headers, and returns their length in bytes, or
// 0 while they are incomplete.
func splitHead(buf []byte) (line, headers string, n int, err error) {
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

// parseFraming parses the headers of a message. It refuses those that leave the body's length ambiguous.
func parseFraming(headers string) (frame, error) {
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
			f.keepAlive = strings.EqualFold(value, "keep-alive")
		case "retry-after":
			f.retryAfter = value
		}
	}
	if f.chunked && f.length >= 0 {
		return f, ErrMalformed
	}
	return f, nil
}

// readBody returns the body at the start of buf and its length as sent, or -1 if buf does not hold the
// whole body yet.
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

// readChunks is readBody for a chunked body.
func readChunks(buf []byte, max int) ([]byte, int, error) {
	var body []byte
	used := 0
	for {
		if used-len(body) > len(body)/chunkOverheadDivisor+minChunkOverhead {
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
			return nil, 0, ErrMalformed // Trailers are refused as well.
		}
		body = append(body, buf[used:used+n]...)
		used += n + 2
		if n == 0 {
			return body, used, nil
		}
	}
}

// chunkSize parses the first line of a chunk. It returns the chunk's size and the line's length in
// bytes, which is 0 if the line is incomplete.
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

var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	409: "Conflict", 421: "Misdirected Request", 422: "Unprocessable Entity", 429: "Too Many Requests",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse appends a response with a JSON body to dst. retryAfter is in seconds; 0 omits the
// header. close announces that the connection will be closed.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, close bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrases[status]...)
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

// AppendRequest appends a request with a JSON body to dst. Without a body, a request other than POST has
// no Content-Length.
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
