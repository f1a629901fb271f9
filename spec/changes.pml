/* Operators whose changes build on each other, a platform that may be restored from an older backup, and processes that receive
 * changes from the platform and from each other, some of them late.
 *
 * Checked: the changes that a process has applied are exactly those accepted up to its step in one history, never a mix of two
 * histories.
 * Guards that can be disabled; each must then yield a counterexample:
 *   -DNO_STEP_CHECK   a change is applied without checking which step precedes it
 */
#define STEPS 6
#define FIRST 1

byte versionOf[7];
byte previousStep[7];
short ownChange[7];   /* the change of each step, one bit each */
short cumulative[7];   /* all changes up to and including the step */
byte stepCount = 1; /* steps created so far, in any history */
byte currentStep = FIRST;

byte heldStep[2];
short appliedChanges[2];

proctype Platform()
{
    byte restoreCount = 0;
    do
    :: atomic { stepCount < STEPS ->
        stepCount++;
        versionOf[stepCount] = versionOf[currentStep] + 1;
        previousStep[stepCount] = currentStep;
        ownChange[stepCount] = 1 << stepCount;
        cumulative[stepCount] = cumulative[currentStep] | ownChange[stepCount];
        currentStep = stepCount
       }
    :: atomic { currentStep != FIRST && restoreCount < 2 -> restoreCount++; currentStep = previousStep[currentStep] }
    :: break
    od
}

/* Applies the changes from the held step to `target` if they continue the held step, otherwise replaces the whole configuration. */
inline applySteps(id, target)
{
    atomic {
        if
        :: versionOf[target] > versionOf[heldStep[id]] ->
            first = target;
            do
            :: versionOf[first] > versionOf[heldStep[id]] + 1 -> first = previousStep[first]
            :: versionOf[first] <= versionOf[heldStep[id]] + 1 -> break
            od;
            if
#ifdef NO_STEP_CHECK
            :: true ->
#else
            :: previousStep[first] == heldStep[id] ->
#endif
                cursor = target;
                do
                :: cursor != first -> appliedChanges[id] = appliedChanges[id] | ownChange[cursor]; cursor = previousStep[cursor]
                :: cursor == first -> break
                od;
                appliedChanges[id] = appliedChanges[id] | ownChange[first]
#ifndef NO_STEP_CHECK
            :: previousStep[first] != heldStep[id] -> appliedChanges[id] = cumulative[target]
#endif
            fi;
            heldStep[id] = target
        :: versionOf[target] <= versionOf[heldStep[id]]
        fi;
        assert(appliedChanges[id] == cumulative[heldStep[id]]);
        first = 0;
        cursor = 0
    }
}

proctype Process(byte id)
{
    byte rounds = 0;
    byte first = 0;
    byte cursor = 0;
    do
    :: rounds < 4 ->
        rounds++;
        if
        :: applySteps(id, currentStep)
        :: applySteps(id, heldStep[1 - id])
        fi
    :: else -> break
    od
}

init {
    versionOf[FIRST] = 1;
    heldStep[0] = FIRST; heldStep[1] = FIRST;
    atomic { run Platform(); run Process(0); run Process(1) }
}
