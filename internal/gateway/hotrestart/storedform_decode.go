package hotrestart

import (
	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

func decodeHandoff(stored storedHandoff) HandoffState {
	return HandoffState{
		Draining:       stored.Drains,
		Policy:         decodePolicyState(stored.Estate),
		WorkerNames:    stored.Workers,
		KindNames:      stored.Kinds,
		Clearances:     convertAll(stored.Clearances, decodeClearance),
		LastSentToPeer: decodeSequence(stored.Word),
	}
}

func decodeSequence(stored storedSequence) incarnation.MessageID {
	return incarnation.MessageID{
		Incarnation: stored.Incarnation,
		Sequence:    stored.Sequence,
	}
}

func decodeClearance(stored storedClearance) authcache.Clearance {
	return authcache.Clearance{
		RequestID:     stored.Mark,
		Attributes:    decodeFacts(stored.Facts),
		Used:          stored.Used,
		ExpiresMillis: stored.Until,
	}
}

func decodeFacts(stored storedFacts) authcache.Attributes {
	return authcache.Attributes{
		Customer: stored.Customer,
		Product:  stored.Product,
		Plan:     stored.Plan,
		Units:    stored.Units,
		SetSize:  stored.SetSize,
		First:    stored.First,
	}
}

func decodePolicyState(stored storedPolicyState) policy.HandoffState {
	return policy.HandoffState{
		Settings:               decodeSettings(stored.Signed),
		AtMillis:               stored.At,
		StartedAtMillis:        stored.Started,
		RateLimitBaseMillis:    stored.Base,
		Customers:              convertAll(stored.Customers, decodeCustomer),
		Workers:                convertAll(stored.Workers, decodeWorker),
		Kinds:                  convertAll(stored.Kinds, decodeKind),
		Peers:                  convertAll(stored.Peers, decodePeer),
		Window:                 stored.Window,
		Pressure:               stored.Press,
		WindowCutAtMillis:      stored.CutAt,
		ResponseMillis:         stored.Pace,
		MeanWorkerLoad:         stored.Load,
		WarmWorkUnits:          stored.WarmDone,
		WarmWorkUnitsPerWorker: stored.WarmEach,
		WarmWorkAtMillis:       stored.WarmAt,
		SlowRequests:           stored.Long,
		SlowRequestsAtMillis:   stored.LongAt,
		LostRequests:           stored.Astray,
		LostRequestsAtMillis:   stored.AstrayAt,
		ShortDeadlineSuccess:   stored.Tight,
		AttemptMillis:          stored.Stay,
		NextReportAtMillis:     stored.NextTell,
	}
}

func decodeSettings(stored storedSettings) policy.Settings {
	return policy.Settings{
		GatewayIndex:            stored.Me,
		GatewayCount:            stored.Gatekeepers,
		Products:                convertAll(stored.Products, decodeProduct),
		Plans:                   convertAll(stored.Plans, decodePlan),
		MaxRequestUnits:         stored.LargestUnits,
		MaxAttempts:             stored.MaxSubmissions,
		AllowHedging:            stored.MayOverlap,
		AllowCancel:             stored.MayWithdraw,
		AllowRetryAfter:         stored.MayAdvise,
		MaxRetryAfterMillis:     stored.MaxAdvice,
		AllowGossip:             stored.MayTell,
		WorkersReportLoad:       stored.LoadTold,
		PeerMessagesPerSecond:   stored.PeerInPerS,
		ReportsPerMessage:       stored.ReportsPerTell,
		WarmingCapacityFraction: stored.ColdFrom,
		WarmUpMillis:            stored.WarmUp,
		OverloadFactor:          stored.Tips,
		OverloadMillis:          stored.TipAfter,
		TotalWeight:             stored.Whole,
		WorstPlanWeight:         stored.WorstPlan,
		QuotaWithoutGossip:      stored.Narrow,
	}
}

func decodeProduct(stored storedProduct) policy.Product {
	return policy.Product{
		LatencyTargetMillis: stored.SLA,
		Value:               stored.Value,
		LateValueFraction:   stored.LateShare,
		Idempotency:         policy.Idempotency(stored.Repeat),
		DedupScope:          policy.DedupScope(stored.Group),
		DedupWindowMillis:   stored.Window,
	}
}

func decodePlan(stored storedPlan) policy.Plan {
	return policy.Plan{
		QuotaPerSecond:      stored.Rate,
		QuotaBurst:          stored.Burst,
		RateLimitPerSecond:  stored.CeilingRate,
		RateLimitBurst:      stored.CeilingDepth,
		WithheldFraction:    stored.Withheld,
		MaxInFlight:         stored.Open,
		ValueFactor:         stored.Factor,
		ExcessValueFraction: stored.ExcessShare,
		ExcessCostFraction:  stored.ExcessFee,
		CreditSeconds:       stored.Credit,
		RepayWithinMillis:   stored.Repay,
	}
}

func decodeCustomer(stored storedCustomer) policy.CustomerState {
	return policy.CustomerState{
		ID:                     stored.Key,
		Plan:                   stored.Plan,
		SetSize:                stored.N,
		FirstGateway:           stored.First,
		Requests:               stored.Txns,
		InFlight:               stored.Out,
		SilentPeers:            stored.Holding,
		ShareTokens:            stored.Level,
		QuotaTokens:            stored.Whole,
		FilledAtMillis:         stored.Filled,
		PeerDemand:             stored.Others,
		PeerSpentUnits:         stored.Flow,
		SilentPeerDemand:       stored.Held,
		PeerDemandAtMillis:     stored.Heard,
		OwnDemand:              stored.Demand,
		RecentDemand:           stored.Lately,
		LastRequestAtMillis:    stored.Seen,
		CoolSinceMillis:        stored.CoolSince,
		RateLimitFullAtMillis:  stored.CeilingAt,
		UnreportedUnits:        stored.Unsaid,
		ReportedDemand:         stored.Said,
		ReportedAtMillis:       stored.SaidAt,
		PreviousReportedDemand: stored.Known,
		Hot:                    stored.Hot,
		UncollectedRepayment:   stored.Lag,
		CreditAtMillis:         stored.Dealt,
	}
}

func decodeWorker(stored storedWorker) policy.WorkerState {
	return policy.WorkerState{
		Worker:               stored.Worker,
		StartedAtMillis:      stored.Since,
		ResponseMillis:       stored.Pace,
		ResponseAtMillis:     stored.Paced,
		ReportedLoad:         stored.Load,
		ReportedLoadAtMillis: stored.Told,
		ReceivedAtMillis:     stored.Heard,
		Suspicion:            stored.Distrust,
		SuspicionAtMillis:    stored.DistrustAt,
		Rejections:           stored.Turned,
		RejectionsAtMillis:   stored.TurnedAt,
		Overloaded:           stored.Full,
		SlowStartAtMillis:    stored.ColdAt,
		SlowStartDebtUnits:   stored.ColdDebt,
	}
}

func decodeKind(stored storedKind) policy.MachineKindState {
	return policy.MachineKindState{
		MachineKind:    stored.Kind,
		ResponseMillis: stored.Pace,
		Responses:      stored.Answers,
	}
}

func decodePeer(stored storedPeer) policy.PeerState {
	return policy.PeerState{
		ReceivedAtMillis:        stored.Heard,
		ReportedAtMillis:        stored.Told,
		ReportDueSinceMillis:    stored.Owes,
		ReportsReceivedAtMillis: stored.Spoke,
		Silent:                  stored.Silent,
		Lost:                    stored.Gone,
		LastReports:             convertAll(stored.Last, decodeReport),
	}
}

func decodeReport(stored storedReport) policy.Report {
	return policy.Report{
		Customer:                stored.Customer,
		Plan:                    stored.Plan,
		DemandPerSecond:         stored.Demand,
		PreviousDemandPerSecond: stored.Known,
		SpentUnits:              stored.Spent,
	}
}
