package peer

import (
	"errors"

	"bramblespur/internal/wire"
)

// Handler carries out the calls of peers. Its methods are called concurrently.
type Handler interface {
	// Check returns an error for invalid arguments. No other method is called with them.
	Check(args any) error
	// Malformed is called for a call that could not be read and for a refused connection, with
	// the IP address of the sender.
	Malformed(from string, err error)
	// Sync carries out the leader's instructions and reports on this controller's shards.
	Sync(SyncArgs) SyncReply
	// ReceiveJobRecord applies a job's record that another controller has just written.
	ReceiveJobRecord(NotifyArgs)
	// Report answers a heartbeat that another controller relayed.
	Report(wire.Heartbeat) HeartbeatReply
	// Status returns the status of a job; false: this controller does not own the job's shard.
	Status(ref string) (wire.Status, bool)
	// User serves a forwarded request.
	User(UserArgs) UserReply
	// Ping reports whether this controller reaches the state service.
	Ping() bool
	// Format returns the format of records that this controller writes.
	Format() int
	// Lend reports whether the sender may make the changes that it asks for.
	Lend(LoanArgs) bool
	// Evidence returns a page of the records that this controller holds in memory, if it is in
	// safe mode.
	Evidence(EvidenceArgs) EvidenceReply
}

// Service exposes a Handler over net/rpc under serviceName. Its method names are part of the
// protocol. The comment of a method that was added after the first version says so: a peer of that
// version answers it with an error.
type Service struct{ handler Handler }

// Sync serves Handler.Sync.
func (s *Service) Sync(a SyncArgs, r *SyncReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Sync(a)
	return nil
}

// Nudge serves Handler.ReceiveJobRecord under the name that other versions call.
func (s *Service) Nudge(a NotifyArgs, _ *struct{}) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	s.handler.ReceiveJobRecord(a)
	return nil
}

// Report serves Handler.Report.
func (s *Service) Report(a wire.Heartbeat, r *HeartbeatReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Report(a)
	return nil
}

// User serves Handler.User.
func (s *Service) User(a UserArgs, r *UserReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.User(a)
	return nil
}

// Ping serves Handler.Ping.
func (s *Service) Ping(_ string, r *bool) error {
	*r = s.handler.Ping()
	return nil
}

// Format serves Handler.Format.
//
// Upgrade: the first version has no such method.
func (s *Service) Format(_ string, r *int) error {
	*r = s.handler.Format()
	return nil
}

// Lend serves Handler.Lend.
//
// Upgrade: the first version has no such method; its leader lends nothing.
func (s *Service) Lend(a LoanArgs, r *bool) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Lend(a)
	return nil
}

// Evidence serves Handler.Evidence, for operators' tools.
//
// Upgrade: the first version has no such method, and no safe mode.
func (s *Service) Evidence(a EvidenceArgs, r *EvidenceReply) error {
	*r = s.handler.Evidence(a)
	return nil
}

// ErrJobNotHeld is the error of a call of Status if the receiver does not own the job's shard.
var ErrJobNotHeld = errors.New("peer: job not held here")

// Status serves Handler.Status.
func (s *Service) Status(ref string, r *wire.Status) error {
	st, ok := s.handler.Status(ref)
	if !ok {
		return ErrJobNotHeld
	}
	*r = st
	return nil
}
