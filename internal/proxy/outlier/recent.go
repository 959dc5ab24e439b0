package outlier

// recentDomains holds the callers' domains of the last smoothingWindow responses or failures.
type recentDomains struct {
	domains [smoothingWindow]string // ring buffer
	count   int                     // entries ever added
}

func (r *recentDomains) add(domain string) {
	r.domains[r.count%smoothingWindow] = domain
	r.count++
}

// includeSeveral reports whether the given number of most recent entries include more than one domain.
func (r *recentDomains) includeSeveral(last int) bool {
	last = min(last, r.count, smoothingWindow)
	for back := 2; back <= last; back++ {
		if r.domains[(r.count-back)%smoothingWindow] != r.domains[(r.count-1)%smoothingWindow] {
			return true
		}
	}
	return false
}
