package transport

// Response is the answer to a request. Its zero value says that there is none yet.
type Response struct {
	Status     int
	Body       any // encoded as JSON; nil: no body
	RetryAfter int // seconds; 0: none
	// Authoritative says that no other controller would answer otherwise, so that the
	// request need not be forwarded.
	Authoritative bool
}

// IsZero reports whether there is no response.
func (r Response) IsZero() bool { return r.Status == 0 }
