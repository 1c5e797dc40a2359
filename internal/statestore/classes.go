package statestore

import "time"

// priority orders the requests that wait for the service's limits: a smaller one goes
// first.
type priority int

const (
	// priorityControl is what a controller serves by at all: its lease and member record,
	// the leadership, its parts and its views.
	priorityControl priority = iota
	// priorityDispatch is starts and what these wait for. They come before acceptances, since
	// one write records all that has been placed for a part in the meantime and there
	// is one at a time: they take few changes, however many there are.
	priorityDispatch
	// priorityUser is acceptances and cancellations: users wait for them, and come again
	// if they are refused.
	priorityUser
	// priorityAwaited is ends that users or other jobs wait for.
	priorityAwaited
	// priorityCompletion is the other ends of jobs, moves and returns of machines: a late one
	// delays what a user is told, or a machine, but no start that has its place.
	priorityCompletion
	// priorityBackground is what workers or records keep meanwhile, and questions.
	priorityBackground
	priorityCount
)

// purposePriorities are the classes of purposes that are not told by urgency alone.
var purposePriorities = map[string]priority{
	"lease": priorityControl, "member": priorityControl, "lead": priorityControl, "claim": priorityControl,
	"take over": priorityControl, "view": priorityControl, "watch": priorityControl, "types": priorityControl,
	"accept": priorityUser, "cancel": priorityUser,
	"job end": priorityCompletion, "cascade": priorityCompletion,
	"completions": priorityBackground, "split": priorityBackground, "addresses": priorityBackground,
	"clear": priorityBackground, "strangers": priorityBackground, "poll": priorityBackground, "drain": priorityBackground, "restart": priorityBackground,
}

// priority returns where a request stands.
func (u Purpose) priority() priority {
	c, known := purposePriorities[u.Name]
	switch {
	case !known && u.Routine:
		return priorityCompletion
	case !known:
		return priorityDispatch
	case !u.Routine:
		return min(c, priorityAwaited)
	}
	return c
}

// maxWaits bound how long requests of a class wait for the limits, if their
// callers have no earlier deadline. What is refused is made anew by then, with what
// has come since.
var maxWaits = [priorityCount]time.Duration{
	priorityControl:    2 * time.Second, // half a lease
	priorityDispatch:   10 * time.Second,
	priorityUser:       3 * time.Second, // users wait 5 s at most
	priorityAwaited:    10 * time.Second,
	priorityCompletion: 30 * time.Second,
	priorityBackground: 30 * time.Second,
}
