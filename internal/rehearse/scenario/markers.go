package scenario

// Markers in the history. The invariants read them by these values.
const (
	markerRecovered        = "returned"  // the last fault is over; from here on service must come back
	markerOverload         = "rush"      // the extra load begins
	markerOverloadEnded    = "rushed"    // the extra load ends
	markerImpaired         = "troubled " // followed by the name of the proxy whose network is impaired from here on
	markerUnimpaired       = "untroubled"
	markerServiceFailing   = "failing"
	markerServiceRecovered = "recovered"
)
