package retry

import "sync"

// Budgets holds a retry budget for each service. Hosts divide the maximum balance of a
// service without communicating: each one's part depends on the number of hosts. It is
// safe for concurrent use.
type Budgets struct {
	share      float64
	mutex      sync.Mutex
	maxBalance float64
	budgets    map[string]*Budget
}

// NewBudgets returns budgets to which each ordinary request adds a share of a retry.
func NewBudgets(share, maxBalance float64) *Budgets {
	return &Budgets{share: share, maxBalance: maxBalance, budgets: make(map[string]*Budget)}
}

// Deposit adds the share of one ordinary request to a service's budget.
func (budgets *Budgets) Deposit(service string) { budgets.forService(service).Deposit() }

// TryWithdraw takes one retry out of a service's budget. It returns false if the
// balance is too low.
func (budgets *Budgets) TryWithdraw(service string) bool {
	return budgets.forService(service).TryWithdraw()
}

// SetMaxBalance changes the maximum balance of each budget.
func (budgets *Budgets) SetMaxBalance(maxBalance float64) {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	if maxBalance == budgets.maxBalance {
		return
	}
	budgets.maxBalance = maxBalance
	for _, budget := range budgets.budgets {
		budget.setMaxBalance(maxBalance)
	}
}

// Balance returns the sum of the balances of all services.
func (budgets *Budgets) Balance() float64 {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	total := 0.0
	for _, budget := range budgets.budgets {
		total += budget.Balance()
	}
	return total
}

// forService returns the budget of a service. It creates one with a full balance on
// first use.
func (budgets *Budgets) forService(service string) *Budget {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	budget := budgets.budgets[service]
	if budget == nil {
		budget = New(Options{Share: budgets.share, MaxBalance: budgets.maxBalance})
		budgets.budgets[service] = budget
	}
	return budget
}
