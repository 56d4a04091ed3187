package roster

import "primrosegw/core/host"

/*
Sample returns the hosts for one answer to a caller: each with the probability that its capacity has
relative to the highest one. Callers choose among the addresses of an answer with equal chances, and ask
again within seconds, so that a host with a tenth of the capacity gets about a tenth of the requests of
another one. In fleets where all are entry hosts for want of high-capacity ones, and in small ones, all are
returned.
*/
func Sample(hosts []host.Host, random func() float64) []host.Host {
	highest := 0.0
	for _, one := range hosts {
		highest = max(highest, one.Capacity)
	}
	if highest <= 0 || len(highCapacityHosts(hosts)) < minHighCapacityHosts || len(hosts) <= smallFleetHosts {
		return hosts
	}
	sampled := make([]host.Host, 0, len(hosts))
	for _, one := range hosts {
		if random() < one.Capacity/highest {
			sampled = append(sampled, one)
		}
	}
	return sampled
}
