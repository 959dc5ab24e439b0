package slots

import "slices"

// occupancy counts the running and waiting requests of each tenant. Tenants without any have no entry.
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

// fairVictim returns the position of the waiting ticket to reject in favor of a request that would be rejected otherwise, or -1 if
// there is none. Among the waiting tickets of the request's priority it chooses the last one of the tenant with the most running and
// waiting requests, provided that afterwards this tenant still has no fewer requests than the request's own tenant.
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

// without returns a copy of the queue without the ticket at a position.
func without(queue []*Ticket, position int) []*Ticket {
	return slices.Concat(queue[:position], queue[position+1:])
}
