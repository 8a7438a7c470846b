package borrowing

// Figures returns totals since the lender was created and the present state of its accounts.
func (l *Lender) Figures() Figures {
	f := l.totals
	for i := range l.accounts {
		if a := &l.accounts[i]; a.InUse {
			f.Customers++
			f.Outstanding += float64(a.totalDebt()) / partsPerUnit
			f.Rights += float64(a.Rights) / partsPerUnit
			f.PresumedDrawn += float64(a.PresumedDrawn) / partsPerUnit
		}
	}
	return f
}

// EachAccount calls visit for each account with its plan, and the rights that may be lent here at once and
// the debt here, in units.
func (l *Lender) EachAccount(visit func(plan int, rights, debt float64)) {
	for i := range l.accounts {
		if a := &l.accounts[i]; a.InUse {
			rights := 0.0
			if a.Known && a.Rights > 0 {
				rights = float64(a.Rights) / partsPerUnit
			}
			visit(int(a.Plan), rights, float64(a.totalDebt())/partsPerUnit)
		}
	}
}

// Balances has the balances of one customer at this instance, and the sums of its transfers to and from all
// peers, in units.
type Balances struct {
	Known                                                bool
	Rights, PresumedDrawn, Debt                          float64
	RightsGiven, DebtGiven, RightsReceived, DebtReceived float64
}

// Balances returns a customer's balances; all zero if it has no account.
func (l *Lender) Balances(customer uint64) Balances {
	slot, ok := l.slotOf[uint32(customer)]
	if !ok {
		return Balances{}
	}
	a := &l.accounts[slot]
	h := Balances{
		Known:         a.Known,
		Rights:        float64(a.Rights) / partsPerUnit,
		PresumedDrawn: float64(a.PresumedDrawn) / partsPerUnit,
		Debt:          float64(a.totalDebt()) / partsPerUnit,
	}
	for i := range a.Pairs {
		p := &a.Pairs[i]
		h.RightsGiven += float64(p.RightsGiven) / partsPerUnit
		h.DebtGiven += float64(p.DebtGiven) / partsPerUnit
		h.RightsReceived += float64(p.RightsReceived) / partsPerUnit
		h.DebtReceived += float64(p.DebtReceived) / partsPerUnit
	}
	return h
}
