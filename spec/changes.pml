/* Operators whose changes build on each other, a platform that may come back from an older copy, and processes that take changes from
 * the platform and from each other, some of them late.
 *
 * Checked: what a process holds is what the operators accepted, step by step, up to the step that it names; never a mixture of
 * two histories.
 * Guards that can be taken out:
 *   -DNO_STEP_CHECK   a change is applied to whatever version stands before it
 */
#define STEPS 6
#define FIRST 1

byte versionOf[7];
byte previous[7];
short own[7];   /* what a step changes, one bit each */
short all[7];   /* what stands after it */
byte steps = 1; /* made so far, on any history */
byte current = FIRST;

byte held[2];
short inForce[2];

proctype Platform()
{
    byte restorations = 0;
    do
    :: atomic { steps < STEPS ->
        steps++;
        versionOf[steps] = versionOf[current] + 1;
        previous[steps] = current;
        own[steps] = 1 << steps;
        all[steps] = all[current] | own[steps];
        current = steps
       }
    :: atomic { current != FIRST && restorations < 2 -> restorations++; current = previous[current] }
    :: break
    od
}

/* The changes after the held version on the way to `to`, if they continue what is held; else the whole. */
inline take(me, to)
{
    atomic {
        if
        :: versionOf[to] > versionOf[held[me]] ->
            from = to;
            do
            :: versionOf[from] > versionOf[held[me]] + 1 -> from = previous[from]
            :: versionOf[from] <= versionOf[held[me]] + 1 -> break
            od;
            if
#ifdef NO_STEP_CHECK
            :: true ->
#else
            :: previous[from] == held[me] ->
#endif
                at = to;
                do
                :: at != from -> inForce[me] = inForce[me] | own[at]; at = previous[at]
                :: at == from -> break
                od;
                inForce[me] = inForce[me] | own[from]
#ifndef NO_STEP_CHECK
            :: previous[from] != held[me] -> inForce[me] = all[to]
#endif
            fi;
            held[me] = to
        :: versionOf[to] <= versionOf[held[me]]
        fi;
        assert(inForce[me] == all[held[me]]);
        from = 0;
        at = 0
    }
}

proctype Process(byte me)
{
    byte rounds = 0;
    byte from = 0;
    byte at = 0;
    do
    :: rounds < 4 ->
        rounds++;
        if
        :: take(me, current)
        :: take(me, held[1 - me])
        fi
    :: else -> break
    od
}

init {
    versionOf[FIRST] = 1;
    held[0] = FIRST; held[1] = FIRST;
    atomic { run Platform(); run Process(0); run Process(1) }
}
