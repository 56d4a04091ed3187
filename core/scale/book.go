package scale

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// refusedPause is how long an order that the platform could not fulfill is not sent again.
const refusedPause = 3 * time.Second

// Record is what is kept of the orders in the store.
type Record struct {
	// Sequence rises with each record, also across restorations of the store.
	Sequence int64                    `json:"sequence"`
	Services map[string]ServiceRecord `json:"services"`
}

// ServiceRecord is the numbers that are ordered for a service.
type ServiceRecord struct {
	// Start is the number of on-demand servers before the first order of some.
	Start  int     `json:"start"`
	Orders []Order `json:"orders"`
}

// key names the servers of one kind in one failure domain.
type key struct {
	service, domain string
	spot            bool
}

// sending is what became of the orders of a key.
type sending struct {
	// accepted is the number that the platform accepted last, -1 if that is not known.
	accepted             int
	acceptedAt           time.Time
	refusedAt, missingAt time.Time
}

// Book keeps the recorded orders and what became of them. It is safe for concurrent use.
type Book struct {
	mutex    sync.Mutex
	record   Record
	sendings map[key]*sending
	lastFall map[string]time.Time
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{sendings: make(map[key]*sending), lastFall: make(map[string]time.Time)}
}

// Adopt takes a record that is in the store, unless a later one is known: a store that was restored from
// a copy has an earlier one.
func (book *Book) Adopt(record Record) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if record.Sequence > book.record.Sequence {
		book.record = record
	}
}

// Record returns the latest record.
func (book *Book) Record() Record {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.record
}

// BeginTerm forgets what became of orders: another host may have made some since. All are sent again.
func (book *Book) BeginTerm() {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	clear(book.sendings)
}

// Next returns the record with new orders for services, and false if nothing changes.
func (book *Book) Next(services map[string]ServiceRecord) (Record, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	next := Record{Sequence: book.record.Sequence + 1, Services: maps.Clone(book.record.Services)}
	if next.Services == nil {
		next.Services = make(map[string]ServiceRecord)
	}
	isChanged := false
	for name, service := range services {
		known, ok := next.Services[name]
		if !ok || known.Start != service.Start || !slices.Equal(known.Orders, service.Orders) {
			next.Services[name], isChanged = service, true
		}
	}
	return next, isChanged
}

// RecordFall records that the number of spot servers of a service falls.
func (book *Book) RecordFall(service string, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.lastFall[service] = now
}

// Fill adds what is ordered for a service to the state of a plan.
func (book *Book) Fill(service string, state *State) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	recorded := book.record.Services[service]
	state.LastFall = book.lastFall[service]
	state.Start = recorded.Start
	present, isFirst := 0, true
	for index := range state.Domains {
		domain := &state.Domains[index]
		present += domain.OnDemand.Ready
		book.fillGroup(key{service, domain.Name, false}, recorded, &domain.OnDemand, state.Now)
		book.fillGroup(key{service, domain.Name, true}, recorded, &domain.Spot, state.Now)
		isFirst = isFirst && !domain.OnDemand.HasOrder
	}
	if isFirst {
		// Those that were there at first may still be registering.
		state.Start = max(state.Start, present)
	}
}

// fillGroup adds what is ordered to a group. The mutex is held.
func (book *Book) fillGroup(key key, recorded ServiceRecord, group *Group, now time.Time) {
	for _, order := range recorded.Orders {
		if order.Domain == key.domain && order.Spot == key.spot {
			group.Ordered, group.HasOrder = order.Servers, true
		}
	}
	known := book.sending(key)
	if group.Ready >= group.held() {
		known.missingAt = time.Time{}
	} else if known.missingAt.IsZero() {
		known.missingAt = now
	}
	group.RefusedAt, group.MissingSince = known.refusedAt, known.missingAt
}

// sending returns what became of the orders of a key. The mutex is held.
func (book *Book) sending(key key) *sending {
	known := book.sendings[key]
	if known == nil {
		known = &sending{accepted: -1}
		book.sendings[key] = known
	}
	return known
}

// ServiceOrder is an order for a service.
type ServiceOrder struct {
	Service string
	Order
}

// Due returns the recorded orders that are to be sent now, those that raise a number first: orders that
// the platform has not accepted yet, and those for servers that are missing, as reclaimed ones.
func (book *Book) Due(boot map[string]time.Duration, now time.Time) []ServiceOrder {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	type due struct {
		ServiceOrder
		growth int
	}
	var orders []due
	for service, wait := range boot {
		for _, order := range book.record.Services[service].Orders {
			known := book.sending(key{service, order.Domain, order.Spot})
			isMissing := !known.missingAt.IsZero() && now.Sub(known.acceptedAt) > wait+bootMargin
			isPaused := !known.refusedAt.IsZero() && now.Sub(known.refusedAt) < refusedPause && order.Servers >= known.accepted
			if (known.accepted != order.Servers || isMissing) && !isPaused {
				orders = append(orders, due{ServiceOrder{service, order}, order.Servers - max(0, known.accepted)})
			}
		}
	}
	slices.SortFunc(orders, func(a, b due) int {
		return cmp.Or(cmp.Compare(b.growth, a.growth), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
	})
	result := make([]ServiceOrder, len(orders))
	for index, one := range orders {
		result[index] = one.ServiceOrder
	}
	return result
}

// Accepted records that the platform accepted an order.
func (book *Book) Accepted(order ServiceOrder, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	known := book.sending(key{order.Service, order.Domain, order.Spot})
	if order.Servers > known.accepted {
		// The new servers are missing from now on.
		known.missingAt = time.Time{}
	}
	known.accepted, known.acceptedAt, known.refusedAt = order.Servers, now, time.Time{}
}

// Refused records that the platform does not fulfill an order now.
func (book *Book) Refused(order ServiceOrder, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.sending(key{order.Service, order.Domain, order.Spot}).refusedAt = now
}
