package borrowing

import "math"

// totalDebt returns the sum of the debts, in parts.
func (a *account) totalDebt() (sum int64) {
	for _, parts := range a.Debt {
		sum += parts
	}
	return sum
}

// overdue returns the sum of the debts that were due before nowMillis, in parts.
func (a *account) overdue(nowMillis float64) (sum int64) {
	for i, parts := range a.Debt {
		if parts > 0 && a.DebtDueMillis[i] < nowMillis {
			sum += parts
		}
	}
	return sum
}

// addDebt adds a debt with its due time. It is merged with a debt that is due less than mergeMillis earlier,
// or if no slot is free, and the merged debt has the earlier due time.
func (a *account) addDebt(parts int64, dueMillis, mergeMillis float64) {
	best, free := -1, -1
	for i := range a.Debt {
		switch {
		case a.Debt[i] == 0:
			free = i
		case a.DebtDueMillis[i] <= dueMillis && (best < 0 || a.DebtDueMillis[i] > a.DebtDueMillis[best]):
			best = i
		}
	}
	switch {
	case best >= 0 && (dueMillis-a.DebtDueMillis[best] < mergeMillis || free < 0):
		a.Debt[best] += parts
	case free >= 0:
		a.Debt[free], a.DebtDueMillis[free] = parts, dueMillis
	default: // due before all others, and no free slot: merge it with the earliest of them
		first := 0
		for i := range a.DebtDueMillis {
			if a.DebtDueMillis[i] < a.DebtDueMillis[first] {
				first = i
			}
		}
		a.Debt[first], a.DebtDueMillis[first] = a.Debt[first]+parts, dueMillis
	}
}

// repay reduces debts, the earliest due first, by up to parts, and returns by how many parts.
func (a *account) repay(parts int64) (paid int64) {
	return a.reduceDebt(parts, func(due, than float64) bool { return due < than })
}

// cancelDebt reduces debts, the latest due first, by up to parts, and returns by how many parts.
func (a *account) cancelDebt(parts int64) (cancelled int64) {
	return a.reduceDebt(parts, func(due, than float64) bool { return due > than })
}

// reduceDebt reduces debts by up to parts in the order of their due times that before gives.
func (a *account) reduceDebt(parts int64, before func(due, than float64) bool) (reduced int64) {
	for reduced < parts {
		next := -1
		for i := range a.Debt {
			if a.Debt[i] > 0 && (next < 0 || before(a.DebtDueMillis[i], a.DebtDueMillis[next])) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		amount := min(a.Debt[next], parts-reduced)
		a.Debt[next] -= amount
		reduced += amount
	}
	return reduced
}

// requiredPace returns the lowest pace of repayment, in parts per ms, at which each debt is repaid by its due
// time, if the earliest due is repaid first.
func (a *account) requiredPace(nowMillis float64) (pace float64) {
	for i := range a.Debt {
		if a.Debt[i] == 0 {
			continue
		}
		sum := int64(0)
		for k := range a.Debt {
			if a.DebtDueMillis[k] <= a.DebtDueMillis[i] {
				sum += a.Debt[k]
			}
		}
		pace = math.Max(pace, float64(sum)/math.Max(a.DebtDueMillis[i]-nowMillis, processingIntervalMillis))
	}
	return pace
}
