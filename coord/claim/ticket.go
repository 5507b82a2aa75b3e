package claim

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"
)

// Ticket is an idempotency key that names its issuer. While the issuer runs, only
// it may dispatch the call, so it can rule out a run on another node without the
// table. No state is kept for a ticket that has not been used.
type Ticket struct {
	Issuer Node
	// Age is how long the issuer had been running when it issued the ticket.
	Age time.Duration
	// Serial distinguishes the tickets of one issuer.
	Serial uint64
}

const (
	ticketPrefix = "pst1"
	ticketFields = 5
)

// String returns the ticket as a caller sends it.
func (t Ticket) String() string {
	return strings.Join([]string{
		ticketPrefix, encodeField(t.Issuer.VM), encodeField(t.Issuer.Incarnation),
		strconv.FormatInt(int64(t.Age/time.Millisecond), 10), strconv.FormatUint(t.Serial, 10),
	}, ".")
}

// ParseTicket parses an idempotency key as a ticket. It returns false if the key
// is not a ticket.
func ParseTicket(text string) (Ticket, bool) {
	f := strings.Split(text, ".")
	if len(f) != ticketFields || f[0] != ticketPrefix {
		return Ticket{}, false
	}
	vm, err1 := decodeField(f[1])
	incarnation, err2 := decodeField(f[2])
	age, err3 := strconv.ParseInt(f[3], 10, 48)
	serial, err4 := strconv.ParseUint(f[4], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || age < 0 || vm == "" {
		return Ticket{}, false
	}
	t := Ticket{
		Issuer: Node{VM: vm, Incarnation: incarnation},
		Age:    time.Duration(age) * time.Millisecond,
		Serial: serial,
	}
	// Only the canonical form is accepted, so that a ticket has a single hash.
	return t, t.String() == text
}

func encodeField(s string) string { return base64.RawURLEncoding.EncodeToString([]byte(s)) }

func decodeField(s string) (string, error) {
	raw, err := base64.RawURLEncoding.DecodeString(s)
	return string(raw), err
}

// IssueTicket returns a new ticket of this node. Ages are whole milliseconds.
func (s *State) IssueTicket(now time.Time) Ticket {
	s.initStarted(now)
	s.serial++
	return Ticket{Issuer: s.opts.Self, Age: now.Sub(s.started).Truncate(time.Millisecond), Serial: s.serial}
}

// ticketExpiry returns when a ticket of this node expires, and whether it is
// valid now. A ticket with an issue time in the future was not issued by this
// node, so it is not valid.
func (s *State) ticketExpiry(now time.Time, t Ticket) (time.Time, bool) {
	issued := s.started.Add(t.Age)
	expiry := issued.Add(s.opts.TicketLifetime)
	return expiry, !issued.After(now) && now.Before(expiry)
}
