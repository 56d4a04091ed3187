package retry

import "sync"

// Budgets is a budget for each service. Hosts share the reserve of a service
// without a word: each holds its part by the number of hosts. It is safe for
// concurrent use.
type Budgets struct {
	share   float64
	mutex   sync.Mutex
	reserve float64
	budgets map[string]*Budget
}

// NewBudgets returns budgets in which each ordinary request pays for a share of
// a retry.
func NewBudgets(share, reserve float64) *Budgets {
	return &Budgets{share: share, reserve: reserve, budgets: make(map[string]*Budget)}
}

// Earn adds the share of one ordinary request for a service.
func (budgets *Budgets) Earn(service string) { budgets.of(service).Earn() }

// Spend takes one retry out of a service's budget, and reports false when the
// budget does not cover it.
func (budgets *Budgets) Spend(service string) bool { return budgets.of(service).Spend() }

// Reserve changes the largest balance of each budget.
func (budgets *Budgets) Reserve(reserve float64) {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	if reserve == budgets.reserve {
		return
	}
	budgets.reserve = reserve
	for _, budget := range budgets.budgets {
		budget.setReserve(reserve)
	}
}

// Left returns the retries that all budgets cover.
func (budgets *Budgets) Left() float64 {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	left := 0.0
	for _, budget := range budgets.budgets {
		left += budget.Left()
	}
	return left
}

func (budgets *Budgets) of(service string) *Budget {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	budget := budgets.budgets[service]
	if budget == nil {
		budget = New(Options{Share: budgets.share, Reserve: budgets.reserve})
		budgets.budgets[service] = budget
	}
	return budget
}
