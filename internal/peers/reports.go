package peers

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/coord/probe"
	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
)

func encodeReports(a probe.Answer) *peerspb.ReportsResponse {
	resp := &peerspb.ReportsResponse{
		Incarnation: a.Incarnation, Version: a.Version, Whole: a.Whole,
		UnchangedAgeNs: uint64(a.UnchangedAge),
	}
	for i := range a.Rows {
		resp.Reports = append(resp.Reports, encodeRow(&a.Rows[i]))
	}
	return resp
}

func encodeRow(w *probe.Row) *peerspb.VMReport {
	r := &w.Report
	return &peerspb.VMReport{
		Vm: r.VM, Version: w.Version, AgeNs: uint64(w.Age), Silent: w.Silent, Refused: w.Refused,
		Incarnation: r.Incarnation, State: string(r.State),
		Group: r.Group, Generation: r.Generation, Model: r.Model, Rank: uint32(r.Rank),
		FenceTerm: r.Fence.Term, FenceSequence: r.Fence.Sequence,
		InFlight: uint32(r.InFlight), Completed: r.Completed, StepLatencyNs: uint64(r.StepLatency),
	}
}

func decodeReports(resp *peerspb.ReportsResponse) probe.Answer {
	a := probe.Answer{
		Incarnation: resp.Incarnation, Version: resp.Version, Whole: resp.Whole,
		UnchangedAge: time.Duration(resp.UnchangedAgeNs),
	}
	for _, r := range resp.Reports {
		a.Rows = append(a.Rows, decodeRow(r))
	}
	return a
}

func decodeRow(r *peerspb.VMReport) probe.Row {
	return probe.Row{
		Version: r.Version, Age: time.Duration(r.AgeNs), Silent: r.Silent, Refused: r.Refused,
		Report: member.Report{
			VM: r.Vm, Incarnation: r.Incarnation, State: member.State(r.State),
			Group: r.Group, Generation: r.Generation, Model: r.Model, Rank: int(r.Rank),
			Fence:    member.Fence{Term: r.FenceTerm, Sequence: r.FenceSequence},
			InFlight: int(r.InFlight), Completed: r.Completed, StepLatency: time.Duration(r.StepLatencyNs),
		},
	}
}
