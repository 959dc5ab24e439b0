package slots

import "slices"

// occupancy counts the requests of each tenant that run or wait. A tenant without any isn't in it.
type occupancy map[string]int

func (o occupancy) add(tenant string) {
	if tenant != "" {
		o[tenant]++
	}
}

func (o occupancy) remove(tenant string) {
	if tenant == "" {
		return
	}
	if o[tenant]--; o[tenant] <= 0 {
		delete(o, tenant)
	}
}

// fairVictim returns the position of the waiting ticket that has to give its place to a request that would be rejected otherwise, -1 if
// there is none: the last one of the tenant that occupies most, among those of the request's priority, if that tenant would still
// occupy no less than the request's own.
func (p *Pool) fairVictim(request Request) int {
	if request.Tenant == "" {
		return -1
	}
	victim, most := -1, p.tenants[request.Tenant]+1
	for position, ticket := range p.queue {
		other := ticket.request
		if other.Priority != request.Priority || other.Tenant == request.Tenant {
			continue
		}
		occupied := p.tenants[other.Tenant]
		if occupied > most || victim >= 0 && occupied == most {
			victim, most = position, occupied
		}
	}
	return victim
}

// without returns the queue without the ticket at a position. The queue itself stays as it is.
func without(queue []*Ticket, position int) []*Ticket {
	return slices.Concat(queue[:position], queue[position+1:])
}
