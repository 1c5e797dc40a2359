package statestore

import "time"

// Purpose says what a request is for. Urgent requests (starts, submissions, leases) may use
// the whole burst; routine ones (status queries, housekeeping) leave a part of it free for a
// while.
type Purpose struct {
	Name    string
	Routine bool
}

// Urgent returns the purpose of a request that somebody waits for.
func Urgent(name string) Purpose { return Purpose{Name: name} }

// Routine returns the purpose of a request that nobody waits for.
func Routine(name string) Purpose { return Purpose{Name: name, Routine: true} }

// priority orders the requests that wait for tokens: a smaller one goes first.
type priority int

const (
	// priorityControl is what a controller needs to serve at all: its lease and member
	// record, the leadership, its shards and its views.
	priorityControl priority = iota
	// priorityDispatch is starts and what these wait for. They come before submissions, since
	// one write records everything that has been placed for a shard in the meantime and a
	// shard has one under way: they take few writes, however many starts there are.
	priorityDispatch
	// priorityUser is submissions and cancellations: users wait for them, and retry if they
	// are refused.
	priorityUser
	// priorityAwaited is completions that users or dependent jobs wait for.
	priorityAwaited
	// priorityCompletion is other completions, moves and releases of machines: a late one
	// delays what a user is told, or a machine, but no task that has its place.
	priorityCompletion
	// priorityBackground is what workers or records keep meanwhile, and status queries.
	priorityBackground
	priorityCount
)

// purposePriorities are the priorities of routine requests by their purposes, and of urgent
// ones down to priorityAwaited. Other purposes are of priorityDispatch if urgent, else of
// priorityCompletion.
var purposePriorities = map[string]priority{
	"lease":     priorityControl,
	"member":    priorityControl,
	"lead":      priorityControl,
	"claim":     priorityControl,
	"take over": priorityControl,
	"view":      priorityControl,
	"watch":     priorityControl,
	"types":     priorityControl,

	"accept": priorityUser,
	"cancel": priorityUser,

	"job end": priorityCompletion,
	"cascade": priorityCompletion,

	"completions": priorityBackground,
	"split":       priorityBackground,
	"addresses":   priorityBackground,
	"clear":       priorityBackground,
	"strangers":   priorityBackground,
	"poll":        priorityBackground,
	"drain":       priorityBackground,
	"restart":     priorityBackground,
}

// priority returns a request's priority.
func (p Purpose) priority() priority {
	listed, known := purposePriorities[p.Name]
	switch {
	case !known && p.Routine:
		return priorityCompletion
	case !known:
		return priorityDispatch
	case !p.Routine:
		return min(listed, priorityAwaited)
	}
	return listed
}

// maxWaits bound how long requests of a priority wait for tokens if their callers have no
// earlier deadline. A refused request is made anew by then, with what has come since.
var maxWaits = [priorityCount]time.Duration{
	priorityControl:    2 * time.Second, // half a lease
	priorityDispatch:   10 * time.Second,
	priorityUser:       3 * time.Second, // users wait 5 s at most
	priorityAwaited:    10 * time.Second,
	priorityCompletion: 30 * time.Second,
	priorityBackground: 30 * time.Second,
}
