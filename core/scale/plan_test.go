package scale_test

import (
	"cmp"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/scale"
	"primrosegw/core/table"
)

const (
	// trafficStart is when the requests begin. The hosts are up before.
	trafficStart = 14
	// playEnd is when most plays end, in seconds.
	playEnd = 120
	// rate is what an engine prefills under sustained mixed load, in tokens per second.
	rate = 19_600.0
	// targetCost is the price to reach, in units per second, and allOnDemand that of the engines at first.
	targetCost, allOnDemand = 36.0, 91.5
	// unknownRate is a rate of which nothing is observed.
	unknownRate = -1
	// slots is what an engine holds.
	slots = 48
)

// traffic is the demand of a second, in prompt tokens.
type traffic struct{ long, drafts, chat float64 }

func (traffic traffic) tokens() float64 { return traffic.long + traffic.drafts + traffic.chat }

// engines is the number of engines that traffic needs.
func (traffic traffic) engines() float64 {
	return max(traffic.tokens()/rate, traffic.inFlight()/slots)
}

// inFlight is the number of requests that engines hold; chat takes 2 s, the others half a second.
func (traffic traffic) inFlight() float64 {
	return traffic.long/2890/2 + traffic.drafts/2368/2 + traffic.chat/715*2
}

// usual is the traffic of 600 requests a second.
var usual = traffic{long: 160 * 2890, drafts: 140 * 2368, chat: 300 * 715}

// group names the engines of a kind in a failure domain.
type group struct {
	domain string
	spot   bool
}

// play is a platform in memory with one service, and the holder of the duty.
type play struct {
	t       *testing.T
	second  int
	ready   map[group]int
	booting map[group][]int
	desired map[group]int
	// exhausted groups have no engines to give. losesAnswers: orders take effect without an answer.
	exhausted    map[group]bool
	losesAnswers bool
	losesOrders  bool
	tokensPerMs  float64
	tracker      *scale.Tracker
	book         *scale.Book
	counters     scale.Counters
	prices       map[string]float64
	// cost and peakCost are in price units, and calls the orders that were sent.
	cost  float64
	calls int
	last  scale.Result
}

func newPlay(t *testing.T) *play {
	t.Helper()
	play := &play{
		t: t, ready: map[group]int{}, booting: map[group][]int{}, desired: map[group]int{}, exhausted: map[group]bool{},
		tracker: scale.NewTracker(), book: scale.NewBook(), prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25},
	}
	for domain := range play.prices {
		play.ready[group{domain, false}], play.desired[group{domain, false}] = 30, 30
	}
	return play
}

func (play *play) now() time.Time { return time.Unix(1000+int64(play.second), 0) }

// advance plays a second with traffic.
func (play *play) advance(load traffic) {
	for name, due := range play.booting {
		var left []int
		for _, at := range due {
			if at <= play.second {
				play.ready[name]++
			} else {
				left = append(left, at)
			}
		}
		play.booting[name] = left
	}
	if load.tokens() > 0 {
		play.counters.Requests += int64(load.long/2890 + load.drafts/2368 + load.chat/715)
		play.counters.Tokens += int64(load.tokens())
		play.counters.Bulk += int64(load.long)
		play.counters.Urgent += int64(load.chat)
	}
	play.tracker.Observe("host", map[string]scale.Counters{"s": play.counters}, play.now())
	play.plan(load)
	for name, count := range play.ready {
		price := play.prices[name.domain]
		if name.spot {
			price *= 0.15
		}
		play.cost += price * float64(count+len(play.booting[name]))
	}
	play.second++
}

// plan makes a plan, records and sends it.
func (play *play) plan(load traffic) {
	state := scale.State{
		Now: play.now(), Slots: slots, TokensPerMs: max(0, cmp.Or(play.tokensPerMs, 39.2)),
		Limits: table.Autoscale{Min: 1, Max: 60, Boot: 4 * time.Second, SpotPrice: 0.15, DomainPrices: play.prices},
	}
	for domain, price := range play.prices {
		state.Domains = append(state.Domains, scale.Domain{
			Name: domain, Price: price, OnDemand: scale.Group{Ready: play.ready[group{domain, false}]}, Spot: scale.Group{Ready: play.ready[group{domain, true}]},
		})
	}
	inFlight := scale.InFlight{All: int(load.inFlight()), Urgent: int(load.chat / 715 * 2)}
	state.Demand = play.tracker.Sample("s", inFlight, state.Limits.Boot, play.now())
	play.book.Fill("s", &state)
	play.last = scale.Plan(state)
	record, isChanged := play.book.Next(map[string]scale.ServiceRecord{"s": {Start: state.Start, Orders: play.last.Orders}})
	if isChanged && len(play.last.Orders) > 0 {
		play.book.Adopt(record)
		if play.last.SpotFalls {
			play.book.RecordFall("s", play.now())
		}
	}
	for domain := range play.prices {
		sum := 0
		for _, order := range play.last.Orders {
			if order.Domain == domain {
				sum += order.Servers
			}
		}
		require.LessOrEqual(play.t, sum, 60, "second %d: too many engines are ordered in %s", play.second, domain)
		require.GreaterOrEqual(play.t, sum, 1, "second %d: too few engines are ordered in %s", play.second, domain)
	}
	for _, order := range play.book.Due(map[string]time.Duration{"s": state.Limits.Boot}, play.now()) {
		play.calls++
		play.send(order)
	}
}

// send is the platform's answer to an order.
func (play *play) send(order scale.ServiceOrder) {
	name := group{order.Domain, order.Spot}
	present := play.ready[name] + len(play.booting[name])
	if play.losesOrders {
		return
	}
	if play.exhausted[name] && order.Servers > present {
		play.book.Refused(order, play.now())
		return
	}
	play.desired[name] = order.Servers
	for ; present < order.Servers; present++ {
		play.booting[name] = append(play.booting[name], play.second+4)
	}
	for ; present > order.Servers; present-- {
		if booting := play.booting[name]; len(booting) > 0 {
			play.booting[name] = booting[:len(booting)-1]
		} else {
			play.ready[name]--
		}
	}
	if !play.losesAnswers {
		play.book.Accepted(order, play.now())
	}
}

// reclaim takes all spot engines of a failure domain away.
func (play *play) reclaim(domain string) {
	name := group{domain, true}
	play.ready[name], play.booting[name], play.desired[name] = 0, nil, 0
}

func (play *play) engines(spot bool) int {
	count := 0
	for name, ready := range play.ready {
		if name.spot == spot {
			count += ready
		}
	}
	return count
}

// largestSpot returns the most spot engines in a failure domain.
func (play *play) largestSpot() int {
	most := 0
	for name, ready := range play.ready {
		if name.spot {
			most = max(most, ready)
		}
	}
	return most
}

func (play *play) all() int { return play.engines(true) + play.engines(false) }

// String shows the engines for messages of failed checks.
func (play *play) String() string {
	return fmt.Sprintf("second %d: ready %v, booting %v, plan %+v", play.second, play.ready, play.booting, play.last)
}

// playCase is a play with a load or a fault.
type playCase struct {
	load  func(second int) traffic
	fault func(play *play)
	// maxCost is the highest mean price from the start of the traffic on, in units per second; 0: targetCost.
	maxCost float64
	// tokensPerMs is the rate that was observed; 0: 39.2, as it is.
	tokensPerMs float64
	// longer is how many seconds longer than the others the play is.
	longer int
	// check is done at the end.
	check func(t *testing.T, play *play)
}

// loads returns plays without faults. The load is the usual one if there is none.
func loads() map[string]playCase {
	return map[string]playCase{
		"calm": {},
		"calm, and the rate of the engines is not known":             {tokensPerMs: unknownRate},
		"calm, and prompts were cached without being expected to be": {tokensPerMs: 50},
		"regular ups and downs by 27 in 100": {
			load: func(second int) traffic {
				return usual.times(1 + 0.27*wave(second))
			},
		},
		"a burst of long prompts": {
			load: func(second int) traffic {
				load := usual
				if second >= 50 && second < 59 {
					load.long *= 2.4
				}
				return load
			},
		},
		"growth of long prompts": {
			load: func(second int) traffic {
				load := usual
				load.long *= 1 + 1.5*min(1, max(0, float64(second-40)/30))
				return load
			},
		},
		"the demand falls to a fifth": {
			load: func(second int) traffic {
				if second < 45 {
					return usual
				}
				return usual.times(0.2)
			}, longer: 240,
			check: func(t *testing.T, play *play) {
				t.Helper()
				require.Less(t, play.engines(true), 90, "spot engines are given up")
			},
		},
	}
}

// faults returns plays with the usual load and a fault.
func faults() map[string]playCase {
	return map[string]playCase{
		"the spot engines of the cheapest domain are lost": {
			fault: func(play *play) {
				if play.second == 50 {
					play.reclaim("b")
				}
			},
			check: func(t *testing.T, play *play) {
				t.Helper()
				require.Positive(t, play.ready[group{"b", true}], "new ones are ordered")
			},
		},
		"the spot engines of a domain are lost and none are to be had": {
			fault: func(play *play) {
				if play.second == 50 {
					play.reclaim("b")
					play.exhausted[group{"b", true}] = true
				}
			},
		},
		"two domains without spot engines": {
			fault: func(play *play) {
				play.exhausted[group{"a", true}], play.exhausted[group{"c", true}] = true, true
			}, maxCost: allOnDemand,
		},
		"two domains without spot engines, and ups and downs": {
			load: func(second int) traffic {
				return usual.times(1 + 0.27*wave(second))
			},
			fault: func(play *play) {
				play.exhausted[group{"a", true}], play.exhausted[group{"c", true}] = true, true
			}, maxCost: allOnDemand,
		},
		"spot engines of two domains are lost during a burst": {
			load: func(second int) traffic {
				load := usual
				if second >= 50 && second < 59 {
					load.long *= 2.4
					load.chat *= 2.7
				}
				return load
			},
			fault: func(play *play) {
				if play.second == 30 {
					play.reclaim("b")
				}
				if play.second == 70 {
					play.reclaim("a")
				}
			},
		},
		"answers are lost for 10 s": {
			fault: func(play *play) { play.losesAnswers = play.second >= 16 && play.second < 26 },
		},
		"orders are lost before traffic": {
			fault: func(play *play) { play.losesOrders = play.second >= 2 && play.second < 10 },
		},
	}
}

// run plays a case, and checks in each second that the engines suffice.
func (play *play) run(test playCase) {
	play.tokensPerMs = test.tokensPerMs
	for play.second < playEnd+test.longer {
		load := traffic{}
		if play.second >= trafficStart {
			load = usual
			if test.load != nil {
				load = test.load(play.second)
			}
		}
		if play.second == trafficStart {
			play.cost = 0
		}
		if test.fault != nil {
			test.fault(play)
		}
		require.GreaterOrEqual(play.t, float64(play.all()), load.engines(), "%s", play)
		if test.fault == nil {
			require.GreaterOrEqual(play.t, float64(play.all()-play.largestSpot()), load.engines(), "the loss of a domain: %s", play)
		}
		play.advance(load)
	}
}

// Guards, under one load or fault each, against fewer engines than the demand needs at any time, against
// fewer than what remains after the loss of a failure domain's spot engines, against a price above the
// target, and against orders without end.
func TestEnginesSufficeAndAreCheap(t *testing.T) {
	cases := loads()
	maps.Copy(cases, faults())
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			play := newPlay(t)
			play.run(test)
			mean := play.cost / float64(playEnd+test.longer-trafficStart)
			t.Logf("mean price %.1f, %d calls, %d spot and %d on-demand engines at the end, need %.1f, plan %+v", mean, play.calls, play.engines(true), play.engines(false), usual.engines(), play.last)
			require.LessOrEqual(t, mean, cmp.Or(test.maxCost, targetCost))
			require.LessOrEqual(t, play.calls, play.second, "more than one order a second")
			if test.check != nil {
				test.check(t, play)
			}
		})
	}
}

func (traffic traffic) times(factor float64) traffic {
	traffic.long, traffic.drafts, traffic.chat = traffic.long*factor, traffic.drafts*factor, traffic.chat*factor
	return traffic
}

// wave goes up and down between -1 and 1 with a period of 11 s.
func wave(second int) float64 {
	phase := float64(second%11) / 11
	if phase < 0.5 {
		return 4*phase - 1
	}
	return 3 - 4*phase
}

// Guards against on-demand engines that leave before the spot engines in their place serve, and against
// a change that is not over when the traffic begins.
func TestEnginesAreReplacedBeforeTraffic(t *testing.T) {
	play := newPlay(t)
	for play.second < trafficStart {
		play.advance(traffic{})
		require.GreaterOrEqual(t, play.all(), 90, "%s", play)
	}
	require.LessOrEqual(t, play.engines(false), 15, "%s", play)
	require.GreaterOrEqual(t, play.engines(true), 110, "%s", play)
}
