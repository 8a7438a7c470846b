package config

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"willowdeck/internal/policy"
)

// other is settings in an unusual order: other names, the effects in another order, one plan, discovery
// polled.
const other = `{"me":4,"balancers":7,
 "classes":[{"name":"toll","aim_us":90000,"hard_limit_us":300000,"effect":"non_idempotent","worth":4},
  {"name":"gate","aim_us":60000,"effect":"idempotency_key","group":"zone","window_us":400000,
   "hard_limit_us":900000,"late_share":0.5},
  {"name":"look","hard_limit_us":250000,"effect":"read_like","group":"cell","worth":0.5}],
 "tariffs":[{"name":"all","rate":12,"most_at_once":36,"hard_rate":25,"cap_depth":78,"worth_factor":2,
  "excess_worth":0.3,"over_cost":0.1}],
 "allowed":{"max_attempts":2,"may_duplicate":true,"retry_after":true,"max_retry_after_us":150000,
  "keepalive_us":6000000,"connect_timeout_us":80000,"peers":true},
 "family_info":{"largest":5,"peer_in_per_s":50},"registry_mode":"on_request","weight_source":"live",
 "report":{"how":"answers","fields":["load_share"]},
 "safety":{"cold_from":0.25,"warm_up_us":9000000,"answer_slack_us":8000,"tip_multiple":1.5,
  "tip_after_us":700000},
 "score_parts":{"whole":0.5,"worst_class":0.3,"worst_tenant":0.1}}`

// TestSettingsByKey: each key counts wherever its product or plan stands.
func TestSettingsByKey(t *testing.T) {
	got, err := DecodeSettings([]byte(other))
	if err != nil {
		t.Fatal(err)
	}
	const want = "{Policy:{GatewayIndex:4 GatewayCount:7 Products:[" +
		"{LatencyTargetMillis:90 Value:4 LateValueFraction:0 Idempotency:2 DedupScope:2 DedupWindowMillis:0} " +
		"{LatencyTargetMillis:60 Value:0 LateValueFraction:0.5 Idempotency:1 DedupScope:1 DedupWindowMillis:400} " +
		"{LatencyTargetMillis:250 Value:0.5 LateValueFraction:0 Idempotency:0 DedupScope:2 DedupWindowMillis:0}] " +
		"Plans:[{QuotaPerSecond:12 QuotaBurst:36 RateLimitPerSecond:25 RateLimitBurst:78 " +
		"WithheldFraction:0 MaxInFlight:0 ValueFactor:2 ExcessValueFraction:0.3 " +
		"ExcessCostFraction:0.1 CreditSeconds:0 RepayWithinMillis:0}] MaxRequestUnits:5 MaxAttempts:2 " +
		"AllowHedging:true AllowCancel:false " +
		"AllowRetryAfter:true MaxRetryAfterMillis:150 AllowGossip:true WorkersReportLoad:true " +
		"PeerMessagesPerSecond:50 ReportsPerMessage:31 WarmingCapacityFraction:0.25 " +
		"WarmUpMillis:9000 OverloadFactor:1.5 OverloadMillis:700 TotalWeight:0.5 WorstPlanWeight:0.4 " +
		"QuotaWithoutGossip:false} " +
		"Names:{Products:map[gate:1 look:2 toll:0] Plans:map[all:0]} " +
		"Connections:{IdleTimeoutMillis:6000 ConnectTimeoutMillis:80 AnswerSlackMillis:8 " +
		"MaxClientWaitMillis:900 PollsDiscovery:true}}"
	if s := fmt.Sprintf("%+v", got); s != want {
		t.Errorf("read as\n%s, want\n%s", s, want)
	}
}

// TestSettingsDefaults: what the settings do not say has its default.
func TestSettingsDefaults(t *testing.T) {
	cases := []struct {
		name, old, new string
		holds          func(*Settings) bool
	}{
		{"a wait of clients that is not said: any", `"hard_limit_us":900000,`, "",
			func(t *Settings) bool { return math.IsInf(t.Connections.MaxClientWaitMillis, 1) }},
		{"no aim: the time that clients wait", `"aim_us":90000,`, "",
			func(t *Settings) bool { return t.Policy.Products[0].LatencyTargetMillis == 300 }},
		{"neither: no time is known", `"hard_limit_us":250000,`, "",
			func(t *Settings) bool { return t.Policy.Products[2].LatencyTargetMillis == 0 }},
		{"no group: the fewest share marks, and none is promised to all", `"group":"zone",`, "",
			func(t *Settings) bool { return t.Policy.Products[1].DedupScope == policy.DedupWithinCell }},
		{"no window: never repeated", `"window_us":400000,`, "",
			func(t *Settings) bool { return t.Policy.Products[1].DedupWindowMillis == 0 }},
		{"no rate of a ceiling: there is none, of any depth", `"hard_rate":25,`, "",
			func(t *Settings) bool {
				p := t.Policy.Plans[0]
				return p.RateLimitPerSecond == 0 && p.RateLimitBurst == 0
			}},
		{"no submissions said: one", `"max_attempts":2,`, "",
			func(t *Settings) bool { return t.Policy.MaxAttempts == 0 && !t.Policy.AllowCancel }},
		{"no copies said: none", `"may_duplicate":true,`, "",
			func(t *Settings) bool { return !t.Policy.AllowHedging }},
		{
			"no advice said: none",
			`"retry_after":true,`,
			"",
			func(t *Settings) bool { return !t.Policy.AllowRetryAfter },
		},
		{"no bound of advice: none is given", `"max_retry_after_us":150000,`, "",
			func(t *Settings) bool { return t.Policy.MaxRetryAfterMillis == 0 }},
		{"no peers said: none are talked to", `,"peers":true`, "",
			func(t *Settings) bool { return !t.Policy.AllowGossip }},
		{"no least start: a cold worker can do nothing", `"cold_from":0.25,`, "",
			func(t *Settings) bool { return t.Policy.WarmingCapacityFraction == 0 && t.Policy.WarmUpMillis == 9000 }},
		{"no slack: none", `,"answer_slack_us":8000`, "",
			func(t *Settings) bool { return t.Connections.AnswerSlackMillis == 0 }},
		{"no way of lists: pushed", `"registry_mode":"on_request",`, "",
			func(t *Settings) bool { return !t.Connections.PollsDiscovery }},
		{"no reports: none are gone by", `"report":{"how":"answers","fields":["load_share"]},`, "",
			func(t *Settings) bool { return !t.Policy.WorkersReportLoad }},
		{"no time for connections", `"connect_timeout_us":80000,`, "",
			func(t *Settings) bool { return t.Connections.ConnectTimeoutMillis == defaultConnectTimeoutMillis }},
		{"no idle limit", `"keepalive_us":6000000,`, "",
			func(t *Settings) bool { return t.Connections.IdleTimeoutMillis == defaultIdleTimeoutMillis }},
		{"a key of later days", `"me":4,`, `"me":4,"later":{"classes":1},`, func(*Settings) bool { return true }},
		{"a plan without any quota", `"rate":12,"most_at_once":36,"hard_rate":25,"cap_depth":78,`, "",
			func(t *Settings) bool {
				p := t.Policy.Plans[0]
				return p.QuotaPerSecond == 0 && p.MaxInFlight == 0 && p.RateLimitPerSecond == 0
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(other, c.old, c.new, 1)
			got, err := DecodeSettings([]byte(text))
			if err != nil || text == other || !c.holds(&got) {
				t.Errorf("%v: read as %+v", err, got)
			}
		})
	}
}

// TestFaultySettings: what is unknown or contradicts itself is rejected by its key.
func TestFaultySettings(t *testing.T) {
	cases := []struct{ old, new, says string }{
		{`"registry_mode":"on_request"`, `"registry_mode":"post"`, `settings.registry_mode: "post" is unknown`},
		{`"weight_source":"live"`, `"weight_source":"guess"`, `settings.weight_source: "guess" is unknown`},
		{`"how":"answers"`, `"how":"letters"`, `settings.report.how: "letters" is unknown`},
		{`non_idempotent`, `safe`, `settings.classes[0].effect: "safe" is unknown`},
		{`"effect":"read_like",`, ``, `settings.classes[2].effect: "" is unknown`},
		{`"group":"zone"`, `"group":"hall"`, `settings.classes[1].group: "hall" is unknown`},
		{`"name":"look"`, `"name":"toll"`, `settings.classes[2].name: "toll" is empty or not unique`},
		{`"name":"gate",`, ``, `settings.classes[1].name: "" is empty or not unique`},
		{`"cap_depth":78`, `"cap_depth":0`, "settings.tariffs[0].cap_depth: "},
		{`"cold_from":0.25`, `"cold_from":1.5`, "settings.safety.cold_from: 1.5 is more"},
		{`"me":4`, `"me":7`, "settings.me: 7 is not an index below balancers, which is 7"},
		{`"me":4,"balancers":7`, `"balancers":-7`, "settings.balancers: -7 is negative"},
		{`"aim_us":60000`, `"aim_us":-1`, "settings.classes[1].aim_us: -1 is negative"},
		{`"hard_limit_us":300000`, `"hard_limit_us":-1`, "settings.classes[0].hard_limit_us: "},
		{`"window_us":400000`, `"window_us":-1`, "settings.classes[1].window_us: "},
		{`"worth":0.5`, `"worth":-0.5`, "settings.classes[2].worth: "},
		{`"late_share":0.5`, `"late_share":-0.5`, "settings.classes[1].late_share: "},
		{`"rate":12`, `"rate":-12`, "settings.tariffs[0].rate: "},
		{`"most_at_once":36`, `"most_at_once":-36`, "settings.tariffs[0].most_at_once: "},
		{`"hard_rate":25`, `"hard_rate":-25`, "settings.tariffs[0].hard_rate: "},
		{`"cap_depth":78`, `"cap_depth":-78`, "settings.tariffs[0].cap_depth: "},
		{`"rate":12`, `"open":-1`, "settings.tariffs[0].open: "},
		{`"worth_factor":2`, `"worth_factor":-2`, "settings.tariffs[0].worth_factor: "},
		{`"excess_worth":0.3`, `"excess_worth":-0.3`, "settings.tariffs[0].excess_worth: "},
		{`"over_cost":0.1`, `"over_cost":-0.1`, "settings.tariffs[0].over_cost: "},
		{`"max_attempts":2`, `"max_attempts":-2`, "settings.allowed.max_attempts: "},
		{`"max_retry_after_us":150000`, `"max_retry_after_us":-1`, "settings.allowed.max_retry_after_us: "},
		{`"keepalive_us":6000000`, `"keepalive_us":-1`, "settings.allowed.keepalive_us: "},
		{`"connect_timeout_us":80000`, `"connect_timeout_us":-1`, "settings.allowed.connect_timeout_us: "},
		{`"largest":5`, `"largest":-5`, "settings.family_info.largest: "},
		{`"peer_in_per_s":50`, `"peer_in_per_s":-50`, "settings.family_info.peer_in_per_s: "},
		{`"largest":5`, `"use_period_us":-5`, "settings.family_info.use_period_us: "},
		{`"cold_from":0.25`, `"cold_from":-0.25`, "settings.safety.cold_from: "},
		{`"warm_up_us":9000000`, `"warm_up_us":-9`, "settings.safety.warm_up_us: "},
		{`"answer_slack_us":8000`, `"answer_slack_us":-8`, "settings.safety.answer_slack_us: "},
		{`"whole":0.5`, `"whole":-0.5`, "settings.score_parts.whole: "},
		{`"worst_class":0.3`, `"worst_class":-0.3`, "settings.score_parts.worst_class: "},
		{`"worst_tenant":0.1`, `"worst_tenant":-0.1`, "settings.score_parts.worst_tenant: "},
		{`"max_attempts":2`, `"max_attempts":"two"`, "settings: allowed.max_attempts: string where a int belongs"},
		{`"rate":12`, `"rate":"twelve"`, "settings: tariffs.rate: string where"},
		{`"cold_from":0.25`, `"cold_from":1e999`, "settings: safety.cold_from: number 1e999 where"},
		{`"how":"answers"`, `"how":["answers"]`, "settings: report.how: array where"},
	}
	for _, c := range cases {
		t.Run(c.new, func(t *testing.T) {
			_, err := DecodeSettings([]byte(strings.Replace(other, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.says) {
				t.Errorf("got %v, want a message with %q", err, c.says)
			}
		})
	}
}
