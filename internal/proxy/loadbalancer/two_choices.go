package loadbalancer

import "snowflow/internal/proxy/session"

// randomSteps is the number of distinct values of a random fraction.
const randomSteps = 1000000

// preferLocalDomain returns the candidates in the caller's own domain with the probability that balances the load of all
// backends: the domain's share of the backends divided by its share of the callers. Otherwise it returns two candidates drawn
// from the domains whose share of the backends exceeds their share of the callers. The caller holds the lock.
func (b *Balancer) preferLocalDomain(directory *session.Directory, candidates []session.Candidate) []session.Candidate {
	domains := newDomainShares(directory, candidates)
	local := domains.candidates[b.domain]
	if b.ignoreDomains || len(local) == len(candidates) {
		return candidates
	}
	random := float64(b.host.Random()%randomSteps) / randomSteps
	if random < domains.localProbability(b.domain) {
		return local
	}
	remote := domains.spareCandidates(b.domain, candidates)
	if len(remote.candidates) == 0 {
		return candidates
	}
	return []session.Candidate{remote.draw(b.host.Random()), remote.draw(b.host.Random())}
}

// pickLessLoadedOfTwo draws two candidates and returns the one with fewer of the caller's attempts in flight. The caller holds
// the lock.
func (b *Balancer) pickLessLoadedOfTwo(candidates []session.Candidate) session.Candidate {
	first := candidates[b.host.Random()%uint64(len(candidates))]
	second := candidates[b.host.Random()%uint64(len(candidates))]
	if b.inFlight[second.Instance] < b.inFlight[first.Instance] {
		return second
	}
	return first
}

// domainShares compares each failure domain's share of a service's backends with its share of the callers.
type domainShares struct {
	directory  *session.Directory
	candidates map[string][]session.Candidate // by domain
	total      int                            // candidates in all domains
}

func newDomainShares(directory *session.Directory, candidates []session.Candidate) domainShares {
	shares := domainShares{directory: directory, candidates: map[string][]session.Candidate{}, total: len(candidates)}
	for _, candidate := range candidates {
		shares.candidates[candidate.Domain] = append(shares.candidates[candidate.Domain], candidate)
	}
	return shares
}

// backendShare returns a domain's share of the backends.
func (s domainShares) backendShare(domain string) float64 {
	return float64(len(s.candidates[domain])) / float64(s.total)
}

// callerShare returns the share of all callers that the given number of proxies amounts to.
func (s domainShares) callerShare(proxies int) float64 {
	return float64(proxies) / float64(max(1, s.directory.Live))
}

// localProbability returns the probability with which a caller stays in its own domain. It may exceed 1.
func (s domainShares) localProbability(domain string) float64 {
	return s.backendShare(domain) / s.callerShare(max(1, s.directory.ProxiesByDomain[domain]))
}

// spareShare returns by how much a domain's share of the backends exceeds its share of the callers.
func (s domainShares) spareShare(domain string) float64 {
	return s.backendShare(domain) - s.callerShare(s.directory.ProxiesByDomain[domain])
}

// spareCandidates returns the candidates of the other domains whose spare share is positive. The weights of a domain's
// candidates are equal and add up to its spare share.
func (s domainShares) spareCandidates(own string, candidates []session.Candidate) weightedCandidates {
	var spare weightedCandidates
	for _, candidate := range candidates {
		weight := s.spareShare(candidate.Domain) / float64(len(s.candidates[candidate.Domain]))
		if candidate.Domain == own || weight <= 0 {
			continue
		}
		spare.candidates = append(spare.candidates, candidate)
		spare.weights = append(spare.weights, weight)
		spare.total += weight
	}
	return spare
}

// weightedCandidates is a list of candidates to draw from by weight.
type weightedCandidates struct {
	candidates []session.Candidate
	weights    []float64
	total      float64 // sum of the weights
}

// draw maps a random number to a candidate, with a probability proportional to the candidate's weight.
func (c weightedCandidates) draw(random uint64) session.Candidate {
	point := c.total * float64(random%randomSteps) / randomSteps
	index := 0
	for index < len(c.weights)-1 && point >= c.weights[index] {
		point -= c.weights[index]
		index++
	}
	return c.candidates[index]
}
