package hotrestart

import (
	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

func encodeHandoff(live HandoffState) storedHandoff {
	return storedHandoff{
		Drains:     live.Draining,
		Estate:     encodePolicyState(live.Policy),
		Workers:    live.WorkerNames,
		Kinds:      live.KindNames,
		Clearances: convertAll(live.Clearances, encodeClearance),
		Word:       encodeSequence(live.LastSentToPeer),
	}
}

func encodeSequence(live incarnation.MessageID) storedSequence {
	return storedSequence{
		Incarnation: live.Incarnation,
		Sequence:    live.Sequence,
	}
}

func encodeClearance(live authcache.Clearance) storedClearance {
	return storedClearance{
		Mark:  live.RequestID,
		Facts: encodeFacts(live.Attributes),
		Used:  live.Used,
		Until: live.ExpiresMillis,
	}
}

func encodeFacts(live authcache.Attributes) storedFacts {
	return storedFacts{
		Customer: live.Customer,
		Product:  live.Product,
		Plan:     live.Plan,
		Units:    live.Units,
		SetSize:  live.SetSize,
		First:    live.First,
	}
}

func encodePolicyState(live policy.HandoffState) storedPolicyState {
	return storedPolicyState{
		Signed:    encodeSettings(live.Settings),
		At:        live.AtMillis,
		Started:   live.StartedAtMillis,
		Base:      live.RateLimitBaseMillis,
		Customers: convertAll(live.Customers, encodeCustomer),
		Workers:   convertAll(live.Workers, encodeWorker),
		Kinds:     convertAll(live.Kinds, encodeKind),
		Peers:     convertAll(live.Peers, encodePeer),
		Window:    live.Window,
		Press:     live.Pressure,
		CutAt:     live.WindowCutAtMillis,
		Pace:      live.ResponseMillis,
		Load:      live.MeanWorkerLoad,
		WarmDone:  live.WarmWorkUnits,
		WarmEach:  live.WarmWorkUnitsPerWorker,
		WarmAt:    live.WarmWorkAtMillis,
		Long:      live.SlowRequests,
		LongAt:    live.SlowRequestsAtMillis,
		Astray:    live.LostRequests,
		AstrayAt:  live.LostRequestsAtMillis,
		Tight:     live.ShortDeadlineSuccess,
		Stay:      live.AttemptMillis,
		NextTell:  live.NextReportAtMillis,
	}
}

func encodeSettings(live policy.Settings) storedSettings {
	return storedSettings{
		Me:             live.GatewayIndex,
		Gatekeepers:    live.GatewayCount,
		Products:       convertAll(live.Products, encodeProduct),
		Plans:          convertAll(live.Plans, encodePlan),
		LargestUnits:   live.MaxRequestUnits,
		MaxSubmissions: live.MaxAttempts,
		MayOverlap:     live.AllowHedging,
		MayWithdraw:    live.AllowCancel,
		MayAdvise:      live.AllowRetryAfter,
		MaxAdvice:      live.MaxRetryAfterMillis,
		MayTell:        live.AllowGossip,
		LoadTold:       live.WorkersReportLoad,
		PeerInPerS:     live.PeerMessagesPerSecond,
		ReportsPerTell: live.ReportsPerMessage,
		ColdFrom:       live.WarmingCapacityFraction,
		WarmUp:         live.WarmUpMillis,
		Tips:           live.OverloadFactor,
		TipAfter:       live.OverloadMillis,
		Whole:          live.TotalWeight,
		WorstPlan:      live.WorstPlanWeight,
		Narrow:         live.QuotaWithoutGossip,
	}
}

func encodeProduct(live policy.Product) storedProduct {
	return storedProduct{
		SLA:       live.LatencyTargetMillis,
		Value:     live.Value,
		LateShare: live.LateValueFraction,
		Repeat:    uint8(live.Idempotency),
		Group:     uint8(live.DedupScope),
		Window:    live.DedupWindowMillis,
	}
}

func encodePlan(live policy.Plan) storedPlan {
	return storedPlan{
		Rate:         live.QuotaPerSecond,
		Burst:        live.QuotaBurst,
		CeilingRate:  live.RateLimitPerSecond,
		CeilingDepth: live.RateLimitBurst,
		Withheld:     live.WithheldFraction,
		Open:         live.MaxInFlight,
		Factor:       live.ValueFactor,
		ExcessShare:  live.ExcessValueFraction,
		ExcessFee:    live.ExcessCostFraction,
		Credit:       live.CreditSeconds,
		Repay:        live.RepayWithinMillis,
	}
}

func encodeCustomer(live policy.CustomerState) storedCustomer {
	return storedCustomer{
		Key:       live.ID,
		Plan:      live.Plan,
		N:         live.SetSize,
		First:     live.FirstGateway,
		Txns:      live.Requests,
		Out:       live.InFlight,
		Holding:   live.SilentPeers,
		Level:     live.ShareTokens,
		Whole:     live.QuotaTokens,
		Filled:    live.FilledAtMillis,
		Others:    live.PeerDemand,
		Flow:      live.PeerSpentUnits,
		Held:      live.SilentPeerDemand,
		Heard:     live.PeerDemandAtMillis,
		Demand:    live.OwnDemand,
		Lately:    live.RecentDemand,
		Seen:      live.LastRequestAtMillis,
		CoolSince: live.CoolSinceMillis,
		CeilingAt: live.RateLimitFullAtMillis,
		Unsaid:    live.UnreportedUnits,
		Said:      live.ReportedDemand,
		SaidAt:    live.ReportedAtMillis,
		Known:     live.PreviousReportedDemand,
		Hot:       live.Hot,
		Lag:       live.UncollectedRepayment,
		Dealt:     live.CreditAtMillis,
	}
}

func encodeWorker(live policy.WorkerState) storedWorker {
	return storedWorker{
		Worker:     live.Worker,
		Since:      live.StartedAtMillis,
		Pace:       live.ResponseMillis,
		Paced:      live.ResponseAtMillis,
		Load:       live.ReportedLoad,
		Told:       live.ReportedLoadAtMillis,
		Heard:      live.ReceivedAtMillis,
		Distrust:   live.Suspicion,
		DistrustAt: live.SuspicionAtMillis,
		Turned:     live.Rejections,
		TurnedAt:   live.RejectionsAtMillis,
		Full:       live.Overloaded,
		ColdAt:     live.SlowStartAtMillis,
		ColdDebt:   live.SlowStartDebtUnits,
	}
}

func encodeKind(live policy.MachineKindState) storedKind {
	return storedKind{
		Kind:    live.MachineKind,
		Pace:    live.ResponseMillis,
		Answers: live.Responses,
	}
}

func encodePeer(live policy.PeerState) storedPeer {
	return storedPeer{
		Heard:  live.ReceivedAtMillis,
		Told:   live.ReportedAtMillis,
		Owes:   live.ReportDueSinceMillis,
		Spoke:  live.ReportsReceivedAtMillis,
		Silent: live.Silent,
		Gone:   live.Lost,
		Last:   convertAll(live.LastReports, encodeReport),
	}
}

func encodeReport(live policy.Report) storedReport {
	return storedReport{
		Customer: live.Customer,
		Plan:     live.Plan,
		Demand:   live.DemandPerSecond,
		Known:    live.PreviousDemandPerSecond,
		Spent:    live.SpentUnits,
	}
}
