package catalog

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// soundSpec is the content of a configuration without a fault.
func soundSpec() spec {
	return spec{
		Version: 7,
		Routes: []Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: Stream, Backends: []Backend{{"llm", 90}, {"other", 0}},
			Timeout: 8 * time.Second, Objective: time.Second, PauseObjective: time.Second, MaxAttempts: 2, Priority: 1,
		}},
		Services: []Service{{Name: "llm", MaxConns: 474, ColdPerSecond: 36, Engine: &Engine{
			Slots: 26, Models: []Model{{Name: "m", GroupSize: 4, Pace: 1, Share: 0.5, LoadTime: time.Minute, WarmTime: time.Second}},
			LoadsPerSecond: 4, ConcurrentLoads: 6, FormTime: time.Second, ReportLag: time.Second, MeanPrompt: 1000, MeanAnswer: 116,
			StepTime: 6 * time.Millisecond, RequestTime: time.Millisecond, ContextTime: time.Millisecond,
			ReadRate: 46000, PairTime: time.Millisecond, Chunk: 512, Stride: 5, TokenCapacity: 90000,
		}}, {Name: "other"}},
		Accounts: []Account{{Name: "a", Keys: []string{"k"}}},
		Limits:   Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

func (s spec) catalog() *Catalog {
	return New(s.Version, s.Routes, s.Services, AccountList(s.Accounts...), s.Limits)
}

func TestSoundCatalogIsValid(t *testing.T) {
	assert.NilError(t, soundSpec().catalog().Validate())
	assert.NilError(t, New(0, nil, nil, Accounts{}, Limits{}).Validate())
}

// A configuration with a group size of 0 or less ended the process that plans the
// groups.
func TestCatalogsWithNumbersOutOfRangeAreInvalid(t *testing.T) {
	for name, change := range map[string]func(s *spec){
		"negative version":    func(s *spec) { s.Version = -1 },
		"version too large":   func(s *spec) { s.Version = math.MaxInt64 },
		"no backend":          func(s *spec) { s.Routes[0].Backends = nil },
		"negative weight":     func(s *spec) { s.Routes[0].Backends[1].Weight = -1 },
		"weight too large":    func(s *spec) { s.Routes[0].Backends[0].Weight = math.MaxInt },
		"negative timeout":    func(s *spec) { s.Routes[0].Timeout = -1 },
		"timeout too long":    func(s *spec) { s.Routes[0].Timeout = math.MaxInt64 },
		"negative objective":  func(s *spec) { s.Routes[0].Objective = math.MinInt64 },
		"long pauses":         func(s *spec) { s.Routes[0].PauseObjective = math.MaxInt64 },
		"no attempt":          func(s *spec) { s.Routes[0].MaxAttempts = 0 },
		"too many attempts":   func(s *spec) { s.Routes[0].MaxAttempts = math.MaxInt },
		"unknown kind":        func(s *spec) { s.Routes[0].Kind = "sometimes" },
		"negative conns":      func(s *spec) { s.Services[0].MaxConns = -1 },
		"negative cold rate":  func(s *spec) { s.Services[0].ColdPerSecond = -1 },
		"cold rate too large": func(s *spec) { s.Services[0].ColdPerSecond = 1e300 },
		"cold rate NaN":       func(s *spec) { s.Services[0].ColdPerSecond = math.NaN() },
		"negative cold time":  func(s *spec) { s.Services[0].ColdTime = -1 },
		"cold time too large": func(s *spec) { s.Services[0].ColdTime = math.MaxInt64 },
		"negative slots":      func(s *spec) { s.Services[0].Engine.Slots = -1 },
		"slots too large":     func(s *spec) { s.Services[0].Engine.Slots = math.MaxInt },
		"negative loads":      func(s *spec) { s.Services[0].Engine.LoadsPerSecond = -4 },
		"loads too large":     func(s *spec) { s.Services[0].Engine.LoadsPerSecond = math.Inf(1) },
		"negative at once":    func(s *spec) { s.Services[0].Engine.ConcurrentLoads = math.MinInt },
		"negative form time":  func(s *spec) { s.Services[0].Engine.FormTime = -1 },
		"report lag too long": func(s *spec) { s.Services[0].Engine.ReportLag = math.MaxInt64 },
		"prompt too long":     func(s *spec) { s.Services[0].Engine.MeanPrompt = 1e300 },
		"negative answer":     func(s *spec) { s.Services[0].Engine.MeanAnswer = -1 },
		"answer no number":    func(s *spec) { s.Services[0].Engine.MeanAnswer = math.NaN() },
		"negative step":       func(s *spec) { s.Services[0].Engine.StepTime = -1 },
		"step too long":       func(s *spec) { s.Services[0].Engine.StepTime = math.MaxInt64 },
		"negative request":    func(s *spec) { s.Services[0].Engine.RequestTime = -1 },
		"request too long":    func(s *spec) { s.Services[0].Engine.RequestTime = math.MaxInt64 },
		"negative context":    func(s *spec) { s.Services[0].Engine.ContextTime = -1 },
		"context too long":    func(s *spec) { s.Services[0].Engine.ContextTime = math.MaxInt64 },
		"negative reading":    func(s *spec) { s.Services[0].Engine.ReadRate = -1 },
		"reading too fast":    func(s *spec) { s.Services[0].Engine.ReadRate = math.Inf(1) },
		"negative pairs":      func(s *spec) { s.Services[0].Engine.PairTime = -1 },
		"pairs too long":      func(s *spec) { s.Services[0].Engine.PairTime = math.MaxInt64 },
		"negative chunk":      func(s *spec) { s.Services[0].Engine.Chunk = -1 },
		"chunk too large":     func(s *spec) { s.Services[0].Engine.Chunk = math.MaxInt },
		"negative stride":     func(s *spec) { s.Services[0].Engine.Stride = -1 },
		"stride too large":    func(s *spec) { s.Services[0].Engine.Stride = math.MaxInt },
		"negative capacity":   func(s *spec) { s.Services[0].Engine.TokenCapacity = -1 },
		"capacity too large":  func(s *spec) { s.Services[0].Engine.TokenCapacity = math.MaxInt },
		"group of none":       func(s *spec) { s.Services[0].Engine.Models[0].GroupSize = 0 },
		"negative group":      func(s *spec) { s.Services[0].Engine.Models[0].GroupSize = -4 },
		"group too large":     func(s *spec) { s.Services[0].Engine.Models[0].GroupSize = math.MaxInt },
		"negative share":      func(s *spec) { s.Services[0].Engine.Models[0].Share = -1 },
		"share too large":     func(s *spec) { s.Services[0].Engine.Models[0].Share = 1e300 },
		"pace too large":      func(s *spec) { s.Services[0].Engine.Models[0].Pace = 1e300 },
		"load too long":       func(s *spec) { s.Services[0].Engine.Models[0].LoadTime = math.MaxInt64 / 2 },
		"negative warm time":  func(s *spec) { s.Services[0].Engine.Models[0].WarmTime = -1 },
		"negative header":     func(s *spec) { s.Limits.MaxHeaderBytes = -1 },
		"body too large":      func(s *spec) { s.Limits.MaxBodyBytes = math.MaxInt64 },
		"negative body":       func(s *spec) { s.Limits.MaxBodyBytes = -1 },
		"idle too long":       func(s *spec) { s.Limits.IdleTimeout = math.MaxInt64 },
		"negative wait":       func(s *spec) { s.Limits.HeaderTimeout = -1 },
	} {
		s := soundSpec()
		change(&s)
		assert.Check(t, s.catalog().Validate() != nil, name)
	}
}

// Guards against a rolling update in which nodes lose an engine's figures, or nodes
// with earlier software can't read the catalog that a newer one passes on.
func TestFiguresPassBetweenNodesOfDifferentVersions(t *testing.T) {
	sound := soundSpec()
	raw, err := json.Marshal(sound.catalog())
	assert.NilError(t, err)
	var got Catalog
	assert.NilError(t, json.Unmarshal(raw, &got))
	assert.DeepEqual(t, got.Service("llm").Engine, sound.Services[0].Engine)

	// The fields that earlier software reads.
	var earlier struct {
		Services []struct {
			Engine *struct {
				Slots           int
				Models          []Model
				LoadsPerSecond  float64
				ConcurrentLoads int
				FormTime        time.Duration
				ReportLag       time.Duration
				MeanPrompt      float64
			}
		}
	}
	assert.NilError(t, json.Unmarshal(raw, &earlier))
	e := earlier.Services[0].Engine
	assert.Equal(t, e.Slots, 26)
	assert.Equal(t, e.MeanPrompt, 1000.0)
	assert.Equal(t, e.ReportLag, time.Second)
	assert.DeepEqual(t, e.Models, sound.Services[0].Engine.Models)
	raw, err = json.Marshal(earlier)
	assert.NilError(t, err)
	var restored Catalog
	assert.NilError(t, json.Unmarshal(raw, &restored))
	assert.NilError(t, restored.Validate())
	assert.Equal(t, restored.spec.Services[0].Engine.StepTime, time.Duration(0))
}
