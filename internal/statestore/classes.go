package statestore

import "time"

// class orders the requests that wait for the service's limits: a smaller one goes
// first.
type class int

const (
	// officeClass is what a controller serves by at all: its lease and member record,
	// the leadership, its parts and its views.
	officeClass class = iota
	// startClass is starts and what these wait for. They come before acceptances, since
	// one write records all that has been placed for a part in the meantime and there
	// is one at a time: they take few changes, however many there are.
	startClass
	// userClass is acceptances and cancellations: users wait for them, and come again
	// if they are refused.
	userClass
	// awaitedClass is ends that users or other jobs wait for.
	awaitedClass
	// endClass is the other ends of jobs, moves and returns of machines: a late one
	// delays what a user is told, or a machine, but no start that has its place.
	endClass
	// backgroundClass is what workers or records keep meanwhile, and questions.
	backgroundClass
	classCount
)

// purposeClasses are the classes of purposes that are not told by urgency alone.
var purposeClasses = map[string]class{
	"lease": officeClass, "member": officeClass, "lead": officeClass, "claim": officeClass,
	"take over": officeClass, "view": officeClass, "watch": officeClass, "types": officeClass,
	"accept": userClass, "cancel": userClass,
	"job end": endClass, "cascade": endClass,
	"completions": backgroundClass, "split": backgroundClass, "addresses": backgroundClass,
	"clear": backgroundClass, "strangers": backgroundClass, "poll": backgroundClass, "drain": backgroundClass, "restart": backgroundClass,
}

// class returns where a request stands.
func (u Use) class() class {
	c, known := purposeClasses[u.For]
	switch {
	case !known && u.Routine:
		return endClass
	case !known:
		return startClass
	case !u.Routine:
		return min(c, awaitedClass)
	}
	return c
}

// longestWaits bound how long requests of a class wait for the limits, if their
// callers have no earlier deadline. What is refused is made anew by then, with what
// has come since.
var longestWaits = [classCount]time.Duration{
	officeClass:     2 * time.Second, // half a lease
	startClass:      10 * time.Second,
	userClass:       3 * time.Second, // users wait 5 s at most
	awaitedClass:    10 * time.Second,
	endClass:        30 * time.Second,
	backgroundClass: 30 * time.Second,
}
