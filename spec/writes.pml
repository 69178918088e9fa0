/*
 * Write claims: package claimer.
 *
 * T attempts at one write with one key, each on a different instance, one log and
 * one plain service. An entry that was sent to the log is appended, now or later,
 * once or more often, or is lost; an attempt learns its offset only by reading it
 * back. A message to the service arrives, now or later, or is lost; the same holds for
 * its answer. Any attempt can crash between any two steps.
 *
 * Once, the folded state can be lost completely (a reset after retention). Claims
 * appended after that are refused, since their key may be among the lost ones. The
 * time after which lost keys are forgotten and may run again is not modelled.
 *
 * Each MUTANT_x removes one guard; the model checker must find a violation.
 */
#ifndef T
#define T 3
#endif
#define NONE 255
#define NOTRUN 1        /* verdicts sent to a caller */
#define MAYHAVERUN 2
#define RAN 3
#define ACCEPTED 1      /* outcomes of a claim */
#define TAKEN 2
#define LOST 3

/* The state folded from the log: the attempt that owns the key, and the recorded outcome. */
byte owner = NONE, outcome = 0;
bool reset = false;

/* Entries and messages in flight. */
bool claim[T], record[T], withdraw[T], message[T];
byte recorded[T], result[T];

/* What really happened, and the verdicts that callers received. */
byte runs = 0;
bool ran[T], crashed[T];
byte told[T];

inline answer(t, verdict) { told[t] = verdict }

proctype Attempt(byte t) {
    claim[t] = true;
#ifdef MUTANT_EARLY
    goto send;
#endif
    if
    :: result[t] == ACCEPTED -> goto send
    :: result[t] == TAKEN -> goto wait
    :: result[t] == LOST -> answer(t, NOTRUN); goto abandoned
    :: answer(t, NOTRUN) -> goto abandoned
    :: goto crash
    fi;

send:
    if
    :: message[t] = true
    :: goto unsent
    :: goto crash
    fi;
    if
    :: ran[t] -> recorded[t] = RAN; answer(t, RAN)
#ifdef MUTANT_RESEND
    :: withdraw[t] = true; answer(t, NOTRUN); goto end
#else
    :: recorded[t] = MAYHAVERUN; answer(t, MAYHAVERUN)
#endif
    :: goto crash
    fi;
    record[t] = true;
    goto end;

unsent:
    withdraw[t] = true;
    answer(t, NOTRUN);
    goto end;

wait:
    if
    :: outcome == RAN -> answer(t, RAN)
    :: outcome == MAYHAVERUN -> answer(t, MAYHAVERUN)
    :: owner == NONE -> answer(t, NOTRUN)
#ifdef MUTANT_TAKEOVER
    :: owner != NONE && crashed[owner] -> goto send
#endif
    :: answer(t, MAYHAVERUN)
    :: goto crash
    fi;
    goto end;

abandoned:
    /* The claim may be appended late. The write was never sent, so it can be withdrawn. */
    if
    :: owner == t -> withdraw[t] = true
    :: goto crash
    fi;
    goto end;

crash:
    crashed[t] = true;
end:
    skip
}

/* KEEP optionally keeps an entry in flight, so that it is appended again later. */
#define KEEP(entry) if :: entry = false :: true fi

inline landClaim(t) {
    KEEP(claim[t]);
    if
#ifndef MUTANT_RESET
    :: reset -> if :: result[t] == 0 -> result[t] = LOST :: else fi
#endif
#ifdef MUTANT_LAST
    :: true -> owner = t; outcome = 0; result[t] = ACCEPTED
#else
#ifdef MUTANT_RESET
    :: owner == NONE ->
#else
    :: !reset && owner == NONE ->
#endif
        owner = t; outcome = 0;
        if :: result[t] == 0 -> result[t] = ACCEPTED :: else fi
    :: owner != NONE && result[t] == 0 -> result[t] = TAKEN
    :: owner != NONE && result[t] != 0
#endif
    fi
}

inline landRecord(t) {
    KEEP(record[t]);
    if
    :: owner == t && outcome == 0 -> outcome = recorded[t]
    :: else
    fi
}

inline landWithdraw(t) {
    KEEP(withdraw[t]);
    if
#ifdef MUTANT_WITHDRAW
    :: outcome == 0 -> owner = NONE
#else
    :: owner == t && outcome == 0 -> owner = NONE
#endif
    :: else
    fi
}

/* World delivers or loses what is in flight for attempt t. */
proctype World(byte t) {
    do
    :: atomic { claim[t] -> landClaim(t) }
    :: atomic { claim[t] -> claim[t] = false }
    :: atomic { record[t] -> landRecord(t) }
    :: atomic { record[t] -> record[t] = false }
    :: atomic { withdraw[t] -> landWithdraw(t) }
    :: atomic { withdraw[t] -> withdraw[t] = false }
    :: atomic { message[t] -> message[t] = false; ran[t] = true; runs++; assert(runs <= 1) }
    :: atomic { message[t] -> message[t] = false }
    od
}

/* Retention loses the folded state once. */
proctype Retention() {
    atomic { reset = true; owner = NONE; outcome = 0 }
}

/* Judge checks the verdicts at every moment: they must be true from then on. */
proctype Judge() {
    byte t = 0;
    do
    :: t < T ->
        assert(!(told[t] == NOTRUN && ran[t]));
        assert(!(told[t] == RAN && runs == 0));
        t++
    :: t == T -> t = 0
    od
}

init {
    byte t = 0;
    atomic {
        do
        :: t < T -> run Attempt(t); run World(t); t++
        :: else -> break
        od;
        run Judge();
        run Retention()
    }
}
