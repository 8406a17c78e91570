package cluster

import (
	"papayaquay/core/ledger"
	"papayaquay/core/table"
)

// askerKey identifies a call that waits for its answer here.
type askerKey struct {
	from   string
	number uint64
}

// proposalRow is a proposed command whose caller waits.
type proposalRow struct {
	term  uint64
	asker askerKey
}

// barrierRow is a read that waits for a quorum to confirm the leader.
type barrierRow struct {
	term   uint64
	round  uint64
	answer func(passed bool)
}

// proposals is the sub-world of calls that wait for the hosted ledger.
type proposals struct {
	rows     *table.Table[uint64, proposalRow] // by index
	barriers []barrierRow
}

// newProposals returns an empty sub-world.
func newProposals() *proposals { return &proposals{rows: table.New[uint64, proposalRow]()} }

// add keeps a caller until the entry at index is applied.
func (p *proposals) add(index, term uint64, asker askerKey) {
	p.rows.Put(index, proposalRow{term: term, asker: asker})
}

// applied returns the caller that waits for an entry. ours is false when
// another leader's entry took the place.
func (p *proposals) applied(entry ledger.Entry) (asker askerKey, ours, waits bool) {
	row := p.rows.Get(entry.Index())
	if row == nil {
		return askerKey{}, false, false
	}
	asker, ours = row.asker, row.term == entry.Term()
	p.rows.Remove(entry.Index())
	return asker, ours, true
}

// abandon removes all callers, who must ask the new leader.
func (p *proposals) abandon(visit func(askerKey)) {
	p.rows.Each(func(index uint64, row *proposalRow) {
		asker := row.asker
		p.rows.Remove(index)
		visit(asker)
	})
}

// checkBarriers answers the reads whose quorum round is decided.
func (p *proposals) checkBarriers(passed func(term, round uint64) (passed, lost bool)) {
	rest := p.barriers
	p.barriers = nil
	for _, b := range rest {
		done, lost := passed(b.term, b.round)
		if !done && !lost {
			p.barriers = append(p.barriers, b)
			continue
		}
		b.answer(done)
	}
}
