package cluster

import (
	"papayaquay/core/ledger"
	"papayaquay/core/table"
)

// requesterKey identifies a call that waits for its answer here.
type requesterKey struct {
	from   string
	number uint64
}

// proposalRow is a proposed command whose caller waits.
type proposalRow struct {
	term      uint64
	requester requesterKey
}

// readRow is a read that waits for a quorum to confirm the leader.
type readRow struct {
	term   uint64
	round  uint64
	answer func(passed bool)
}

// proposals is the sub-world of calls that wait for the hosted ledger.
type proposals struct {
	rows  *table.Table[uint64, proposalRow] // by index
	reads []readRow
}

// newProposals returns an empty sub-world.
func newProposals() *proposals { return &proposals{rows: table.New[uint64, proposalRow]()} }

// add keeps a caller until the entry at index is applied.
func (p *proposals) add(index, term uint64, requester requesterKey) {
	p.rows.Put(index, proposalRow{term: term, requester: requester})
}

// applied returns the caller that waits for an entry. ours is false when
// another leader's entry took the place.
func (p *proposals) applied(entry ledger.Entry) (requester requesterKey, sameTerm, waiting bool) {
	row := p.rows.Get(entry.Index())
	if row == nil {
		return requesterKey{}, false, false
	}
	requester, sameTerm = row.requester, row.term == entry.Term()
	p.rows.Remove(entry.Index())
	return requester, sameTerm, true
}

// removeAll removes all callers, who must ask the new leader.
func (p *proposals) removeAll(visit func(requesterKey)) {
	p.rows.Each(func(index uint64, row *proposalRow) {
		requester := row.requester
		p.rows.Remove(index)
		visit(requester)
	})
}

// answerReads answers the reads whose quorum round is decided.
func (p *proposals) answerReads(passed func(term, round uint64) (passed, lost bool)) {
	rest := p.reads
	p.reads = nil
	for _, b := range rest {
		done, lost := passed(b.term, b.round)
		if !done && !lost {
			p.reads = append(p.reads, b)
			continue
		}
		b.answer(done)
	}
}
