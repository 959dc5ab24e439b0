package loadbalancer

import "snowflow/internal/proxy/session"

// randomSteps is the resolution of random fractions.
const randomSteps = 1000000

// preferLocalDomain stays in the own domain with the probability that levels the load of all backends: the domain's share of
// the backends over its share of the callers. Otherwise two candidates are drawn from the domains whose share of the
// backends exceeds their share of the callers. The caller holds the lock.
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

// pickLessLoadedOfTwo draws two candidates and returns the one with fewer own attempts in flight. The caller holds the lock.
func (b *Balancer) pickLessLoadedOfTwo(candidates []session.Candidate) session.Candidate {
	one := candidates[b.host.Random()%uint64(len(candidates))]
	other := candidates[b.host.Random()%uint64(len(candidates))]
	if b.inFlight[other.Instance] < b.inFlight[one.Instance] {
		return other
	}
	return one
}

// domainShares compares the backends of each failure domain with its callers.
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

// backendShare is a domain's share of the backendShare.
func (s domainShares) backendShare(domain string) float64 {
	return float64(len(s.candidates[domain])) / float64(s.total)
}

// callerShare is the share of the callerShare that a number of proxies has.
func (s domainShares) callerShare(proxies int) float64 {
	return float64(proxies) / float64(max(1, s.directory.Live))
}

// localProbability is the probability with which a caller stays in its own domain. It may exceed 1.
func (s domainShares) localProbability(domain string) float64 {
	return s.backendShare(domain) / s.callerShare(max(1, s.directory.ProxiesByDomain[domain]))
}

// spareShare is by how much a domain's share of the backends exceeds its share of the callers.
func (s domainShares) spareShare(domain string) float64 {
	return s.backendShare(domain) - s.callerShare(s.directory.ProxiesByDomain[domain])
}

// spareCandidates are the candidates of all other domains whose spare is above 0. A domain's spare is divided evenly among its
// candidates, as their weights.
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

// weightedCandidates is a set to draw from; total is the sum of the weights.
type weightedCandidates struct {
	candidates []session.Candidate
	weights    []float64
	total      float64
}

// draw returns one of the candidates with a probability in proportion to its weight.
func (c weightedCandidates) draw(random uint64) session.Candidate {
	point := c.total * float64(random%randomSteps) / randomSteps
	index := 0
	for index < len(c.weights)-1 && point >= c.weights[index] {
		point -= c.weights[index]
		index++
	}
	return c.candidates[index]
}
