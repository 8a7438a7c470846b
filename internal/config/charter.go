// Package config reads what a gatekeeper is told at its start, checks it and fills in defaults. Its errors
// name the key at fault.
package config

import (
	"encoding/json"
	"fmt"

	"willowdeck/internal/wire/gossip"
	"willowdeck/logic"
)

const usPerMs = 1000

// Names gives the places in the charter of the products and plans that txns name.
type Names struct {
	Products, Plans map[string]int
}

// Lines is what the settings say of connections to workers. Times are in ms.
type Lines struct {
	IdleLimit      float64 // the worker's side closes a connection that stands idle for so long
	ConnectTimeout float64
	AnswerSlack    float64 // how late after its expiry a txn's final answer may come
}

// Charter reads the settings, as they stand in the configuration and on the bench's wire alike.
func Charter(raw []byte) (logic.Charter, Names, Lines, error) {
	var s struct {
		Me        int
		Balancers int
		Classes   []struct {
			Name      string
			Aim       float64 `json:"aim_us"`
			Worth     float64
			LateShare float64 `json:"late_share"`
			Effect    string
			Group     string
			Window    float64 `json:"window_us"`
		}
		Tariffs []struct {
			Name        string
			Rate        float64
			MostAtOnce  float64 `json:"most_at_once"`
			HardRate    float64 `json:"hard_rate"`
			CapDepth    float64 `json:"cap_depth"`
			Open        int
			WorthFactor float64 `json:"worth_factor"`
			ExcessWorth float64 `json:"excess_worth"`
			OverCost    float64 `json:"over_cost"`
		}
		Allowed struct {
			MaxAttempts    int     `json:"max_attempts"`
			MayDuplicate   bool    `json:"may_duplicate"`
			Cancel         bool    `json:"cancel"`
			RetryAfter     bool    `json:"retry_after"`
			MaxRetryAfter  float64 `json:"max_retry_after_us"`
			Peers          bool    `json:"peers"`
			Keepalive      float64 `json:"keepalive_us"`
			ConnectTimeout float64 `json:"connect_timeout_us"`
		}
		FamilyInfo struct {
			Largest    float64
			PeerInPerS float64 `json:"peer_in_per_s"`
		} `json:"family_info"`
		Safety struct {
			ColdFrom    float64 `json:"cold_from"`
			AnswerSlack float64 `json:"answer_slack_us"`
			WarmUp      float64 `json:"warm_up_us"`
		}
		ScoreParts struct {
			Whole       float64
			WorstTenant float64 `json:"worst_tenant"`
		} `json:"score_parts"`
	}
	n := Names{Products: map[string]int{}, Plans: map[string]int{}}
	if err := json.Unmarshal(raw, &s); err != nil {
		return logic.Charter{}, n, Lines{}, fmt.Errorf("settings: %w", err)
	}
	c := logic.Charter{
		Me: s.Me, Gatekeepers: s.Balancers,
		LargestUnits:   s.FamilyInfo.Largest,
		MaxSubmissions: s.Allowed.MaxAttempts,
		MayOverlap:     s.Allowed.MayDuplicate,
		MayWithdraw:    s.Allowed.Cancel,
		MayAdvise:      s.Allowed.RetryAfter,
		MaxAdvice:      s.Allowed.MaxRetryAfter / usPerMs,
		MayTell:        s.Allowed.Peers,
		PeerInPerS:     s.FamilyInfo.PeerInPerS,
		ReportsPerTell: gossip.Room,
		ColdFrom:       s.Safety.ColdFrom,
		WarmUp:         s.Safety.WarmUp / usPerMs,
		Whole:          s.ScoreParts.Whole,
		WorstPlan:      s.ScoreParts.WorstTenant,
	}
	for i, p := range s.Classes {
		d := logic.Product{SLA: p.Aim / usPerMs, Value: p.Worth, LateShare: p.LateShare, Window: p.Window / usPerMs}
		switch p.Effect {
		case "read_like":
			d.Repeat = logic.InquiryLike
		case "idempotency_key":
			d.Repeat = logic.Referenced
		case "non_idempotent":
			d.Repeat = logic.OnceOnly
		default:
			return c, n, Lines{}, fmt.Errorf("settings: classes[%d].effect: %q is unknown", i, p.Effect)
		}
		switch p.Group {
		case "zone":
			d.Group = logic.GroupZone
		case "cell":
			d.Group = logic.GroupCell
		}
		n.Products[p.Name] = i
		c.Products = append(c.Products, d)
	}
	for i, p := range s.Tariffs {
		n.Plans[p.Name] = i
		c.Plans = append(c.Plans, logic.Plan{Rate: p.Rate, Burst: p.MostAtOnce, CeilingRate: p.HardRate,
			CeilingDepth: p.CapDepth, Open: p.Open, Factor: p.WorthFactor, ExcessShare: p.ExcessWorth,
			ExcessFee: p.OverCost})
	}
	return c, n, Lines{IdleLimit: s.Allowed.Keepalive / usPerMs, ConnectTimeout: s.Allowed.ConnectTimeout / usPerMs,
		AnswerSlack: s.Safety.AnswerSlack / usPerMs}, nil
}
