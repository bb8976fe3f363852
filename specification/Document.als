/**
 * Versions of one stage of an environment document.
 *
 * Operators race, writes land late or never, answers are lost, reads of the store may be stale, and
 * instances pass versions on to each other in any order.
 */
module Document
open util/ordering[Version]

sig Version {}

sig Change {
  var base: lone Version -- version that the operator edited; none for the first
}

sig Instance {
  var inForce: lone Version
}

one sig Store {
  var current: lone Version,
  var written: Version -> lone Change, -- history rows
  var accepted: set Change             -- changes whose operator was told "accepted"
}

var sig OnItsWay in Change {} -- a write that may still land

-- Seeded faults; none in the protocol itself.
abstract sig Mutant {}
lone sig WriteWithoutComparing, AdoptWithoutComparing extends Mutant {}

fun next_[v: lone Version]: lone Version { no v implies first else next[v] }

pred unchangedStore { current' = current and written' = written }
pred unchangedRest { inForce' = inForce and OnItsWay' = OnItsWay and base' = base }

pred init {
  no current and no written and no accepted and no inForce and no OnItsWay and no base
}

-- DocumentStore.write: the operator's expected version, which may come from a stale read.
pred write[c: Change, v: lone Version] {
  c not in OnItsWay and c not in Version.(Store.written)
  v in Store.current or v in (Store.written).Change or no v
  OnItsWay' = OnItsWay + c
  base' = (base - c->Version) + c->v
  unchangedStore and accepted' = accepted and inForce' = inForce
}

-- The store compares the revision of the current row and writes current and history rows together.
pred land[c: Change] {
  c in OnItsWay
  OnItsWay' = OnItsWay - c and base' = base
  let v = next_[c.base] {
    (some v and (c.base = Store.current or some WriteWithoutComparing))
      implies (Store.current' = v
        and Store.written' = (Store.written - v->Change) + v->c)
      else unchangedStore
  }
  accepted' = accepted and inForce' = inForce
}

-- The operator is told once the history row with the change is seen.
pred accept[c: Change] {
  c in Version.(Store.written)
  Store.accepted' = Store.accepted + c
  unchangedStore and unchangedRest
}

-- EnvironmentHolder.offer with a version read from the store, stale or not, or from a peer.
pred adopt[i: Instance, v: Version] {
  v in (Store.written).Change
  (no i.inForce or gt[v, i.inForce] or some AdoptWithoutComparing)
  inForce' = (inForce - i->Version) + i->v
  unchangedStore and accepted' = accepted and OnItsWay' = OnItsWay and base' = base
}

pred stutter { unchangedStore and accepted' = accepted and unchangedRest }

fact behaviour {
  init
  always (stutter
    or some c: Change | land[c] or accept[c] or write[c, none] or (some v: Version | write[c, v])
    or some i: Instance, v: Version | adopt[i, v])
}

-- What an operator was told is accepted stays in the history under its version.
pred acceptedStays {
  always all c: Store.accepted | always c in Version.(Store.written)
}

pred neverReverts {
  always all i: Instance | no i.inForce or (some i.inForce' and gte[i.inForce', i.inForce])
}

AcceptedStays: check { no Mutant implies acceptedStays }
  for 3 but 3 Change, 3 Version, 1 Instance, 1..9 steps
NeverReverts: check { no Mutant implies neverReverts }
  for 3 but 2 Change, 3 Version, 2 Instance, 1..9 steps
CanBeInForce: run { no Mutant and eventually (all i: Instance | i.inForce = first.next) }
  for 3 but 2 Change, 2 Version, 2 Instance, 1..10 steps
MutantWriteWithoutComparing: check { (some WriteWithoutComparing and one Mutant) implies acceptedStays }
  for 3 but 2 Change, 2 Version, 1 Instance, 1..9 steps
MutantAdoptWithoutComparing: check { (some AdoptWithoutComparing and one Mutant) implies neverReverts }
  for 3 but 2 Change, 2 Version, 1 Instance, 1..10 steps
