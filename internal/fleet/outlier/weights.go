package outlier

import (
	"slices"

	"canvasrouter/policy"
)

// remainingByEvidenceAge is the fraction of its weight that an ejected server keeps, indexed by the age in whole seconds of
// the evidence against it. As the evidence ages, nodes try the server more often, so that one of them gets fresh evidence before
// all reports expire at the same time.
var remainingByEvidenceAge = [...]float64{1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2}

// answeredFraction is the least fraction of its weight that an ejected server keeps once it has answered a peer, so that more
// nodes try it.
const answeredFraction = 1.0 / 4

// slowFraction is the fraction of its weight that a server keeps which peers report as slow.
const slowFraction = 1.0 / 2

// WeightReduction says which fraction of the weight that the registry gives a server remains, by an assessment.
type WeightReduction struct {
	Assessment
	RemainingFraction float64
}

// WeightReductions returns the servers in the list whose weight is reduced because of reports of peers, in the order of their
// IDs. It leaves out servers that have answered this node since the condition began, and ejects at most MaxEjectedFraction of
// the list: the servers with the largest majority of unhealthy reports.
// ownCondition is LocalDetector.Condition, or a function that calls it under a lock of the caller.
func WeightReductions(now policy.Micros, list []policy.ServerID, table *ReportTable, ownCondition func(policy.Micros, policy.ServerID) (Condition, policy.Micros)) (reductions []WeightReduction) {
	if len(table.servers) == 0 {
		return nil
	}
	ejected := 0
	for _, assessment := range table.Assess(now, list) {
		_, answeredAt := ownCondition(now, assessment.Server)
		if answeredAt > 0 && now-answeredAt <= ownEvidenceMaxAge && answeredAt > assessment.Since+answerMargin {
			continue // the server has answered this node after the reported start of the condition
		}
		reduction := WeightReduction{assessment, slowFraction}
		if assessment.Condition.ejects() {
			ejected++
			if float64(ejected) > MaxEjectedFraction*float64(len(list)) {
				continue
			}
			reduction.RemainingFraction = remainingByEvidenceAge[min(len(remainingByEvidenceAge)-1, int(max(0, now-assessment.LastEvidence)/policy.Second))]
			if assessment.LastAnswer > assessment.LastEvidence+refutationMargin {
				reduction.RemainingFraction = max(reduction.RemainingFraction, answeredFraction)
			}
		}
		reductions = append(reductions, reduction)
	}
	slices.SortFunc(reductions, func(a, b WeightReduction) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return reductions
}
