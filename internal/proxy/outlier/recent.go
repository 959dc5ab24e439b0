package outlier

// recentDomains holds the callers' domains of the last smoothingWindow of something.
type recentDomains struct {
	domains [smoothingWindow]string // a ring
	count   int                     // how many there have been
}

func (r *recentDomains) add(domain string) {
	r.domains[r.count%smoothingWindow] = domain
	r.count++
}

// includeSeveral reports whether the last few were of more than one domain.
func (r *recentDomains) includeSeveral(last int) bool {
	last = min(last, r.count, smoothingWindow)
	for back := 2; back <= last; back++ {
		if r.domains[(r.count-back)%smoothingWindow] != r.domains[(r.count-1)%smoothingWindow] {
			return true
		}
	}
	return false
}
