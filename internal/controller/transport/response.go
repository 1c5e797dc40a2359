package transport

// Response is the response to a request. Its zero value says that there is none yet.
type Response struct {
	Status     int // HTTP status
	Body       any // encoded as JSON; nil: no body
	RetryAfter int // seconds; 0: no Retry-After header
	// Authoritative says that every other controller would give the same response, so that
	// the request need not be forwarded.
	Authoritative bool
}

// IsZero reports whether there is no response.
func (r Response) IsZero() bool { return r.Status == 0 }
