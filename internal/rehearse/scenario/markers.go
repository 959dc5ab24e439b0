package scenario

// Markers in the history. Those that package invariants evaluates have the values of its Marker constants.
const (
	markerFaultsEnded      = "returned"   // all faults have ended; service must recover from here on
	markerOverload         = "rush"       // the extra load begins
	markerOverloadEnded    = "rushed"     // the extra load ends
	markerNetworkDegraded  = "troubled "  // followed by the name of a proxy whose network is impaired from here on
	markerNetworkRestored  = "untroubled" // all proxies' networks work normally again
	markerServiceFailing   = "failing"    // a service starts to fail
	markerServiceRecovered = "recovered"  // the service works again
)
