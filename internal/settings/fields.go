package settings

// The values of the setting "balance".
const (
	// BalanceNear prefers backends of the proxy's own zone while the load stays even.
	BalanceNear = "near"
	// BalanceUniform ignores zones.
	BalanceUniform = "uniform"
)

// CommonFields returns the settings that every daemon has.
func CommonFields() []Field {
	return []Field{
		{Name: "name", Help: "this process's name, unique in its group", Check: CheckName},
		{Name: "domain", Help: "the zone (failure domain) that this process runs in", Check: CheckName},
		{Name: "listen", Help: "address on which other processes of the mesh reach this one", Check: CheckAddress},
		{Name: "advertise", Help: "address that other processes are told to connect to; that of listen if left out", Check: CheckAddress, Optional: true},
		{Name: "seeds", Help: "three comma-separated addresses of other processes, any of the mesh", Check: CheckAddresses},
		{Name: "rehearse-clock", Help: "file with the number of microseconds by which SIGUSR1 moves this process's clock, to rehearse a faulty one; leave it out in production", Optional: true},
		{Name: "processors", Help: "maximum number of processors to use; all of the machine's if left out", Check: CheckCount, Optional: true},
		{Name: "clock", Help: "boottime includes the time while the machine is suspended; monotonic costs less, for machines that are never suspended", Default: "boottime", Check: CheckOneOf("boottime", "monotonic")},
		{Name: "log", Help: "lowest level of events to log: debug, info, warn or error", Default: "info", Check: CheckLevel},
	}
}

// ControlPlaneFields returns the settings of registries and configuration stores.
func ControlPlaneFields() []Field {
	return append(CommonFields(),
		Field{Name: "voters", Help: "comma-separated names of all processes of this group, the same everywhere; if their number is even, the first counts twice", Check: CheckVoters},
		Field{Name: "data", Help: "data folder, for this process alone"},
		Field{Name: "rehearse-sync", Help: "added to each sync, to rehearse a slow disk; leave it out in production", Check: CheckDuration, Optional: true},
		Field{Name: "http", FormerName: "desk", Help: "HTTP address for status, metrics and operators", Check: CheckAddress},
	)
}

// ProxyFields returns the settings of proxies.
func ProxyFields() []Field {
	return append(CommonFields(),
		Field{Name: "callers", Help: "HTTP address for callers", Check: CheckAddress},
		Field{Name: "balance", FormerName: "choice", FormerValues: map[string]string{"blind": BalanceUniform}, Default: BalanceNear,
			Help: "near prefers backends of the proxy's own zone while the load stays even; uniform ignores zones", Check: CheckOneOf(BalanceNear, BalanceUniform)},
		Field{Name: "far-penalty", Help: "microseconds that load balancing adds to the expected response time of a backend in another zone", Default: "20000", Check: CheckPenalty},
		Field{Name: "http", FormerName: "desk", Help: "HTTP address for this machine's backends, the platform and operators", Check: CheckAddress},
		Field{Name: "grace", Help: "how long a planned stop may take", Default: "2.5s", Check: CheckDuration},
	)
}
