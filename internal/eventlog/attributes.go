package eventlog

// Attributes holds the attributes of an event by key, each of a type that encoding/json can encode. They become fields of the log
// line; the keys event, program and name are reserved for the log itself.
type Attributes map[string]any

// Incarnation returns the attributes of an event about one incarnation of a proxy.
func Incarnation(proxy string, incarnation uint64) Attributes {
	return Attributes{"proxy": proxy, "incarnation": incarnation}
}

// Failure returns the attributes of an event about an error at an address.
func Failure(address string, err error) Attributes {
	return Attributes{"address": address, "error": err.Error()}
}

// ClockJump returns the attributes of an event about a clock that jumped ahead by a number of microseconds, or back if negative.
func ClockJump(micros int64) Attributes {
	return Attributes{"micros": micros}
}

// Stopped returns the attributes of an event about a process that stops itself.
func Stopped(reason string) Attributes {
	return Attributes{"why": reason}
}

// Start describes a process for the event ProcessStarted.
type Start struct {
	Release     string // of the program
	WireVersion uint16
	Listen      string // the address for other processes
	ProcessID   int
}

// Attributes returns the event's attributes.
func (s Start) Attributes() Attributes {
	return Attributes{"release": s.Release, "wire": s.WireVersion, "listen": s.Listen, "process": s.ProcessID}
}
