/* A request on a link that may be replaced, and the endpoint process's word that it never saw it.
 *
 * Checked: once the entry reports "not run", the request has not run and never will, though it may still be on its way.
 * Guards that can be taken out:
 *   -DNO_TOMBSTONE   the endpoint process forgets that it said "unknown"
 *   -DNO_BOOT_ID     the word of a restarted process counts for its predecessor
 */
bool onOldLink = false;
bool resumeAsked = false;
bool unknownSaid = false;
byte unknownBoot = 0;
byte boot = 1;
byte bootAtSend = 0;
bool isTombstoned = false;
bool isKnown = false;
byte runs = 0;
bool saidNotRun = false;

active proctype Entry()
{
    atomic { bootAtSend = boot; onOldLink = true };
    /* the link falls silent and is replaced; the old one may still deliver */
    resumeAsked = true;
    if
    :: unknownSaid ->
        atomic {
            if
#ifdef NO_BOOT_ID
            :: true -> saidNotRun = true
#else
            :: unknownBoot == bootAtSend -> saidNotRun = true
#endif
            :: else /* may have run */
            fi
        }
    :: isKnown && resumeAsked == false -> skip /* resumed */
    fi
}

active proctype EndpointProcess()
{
    byte restarts = 0;
end:
    do
    :: atomic { onOldLink && !isTombstoned && !isKnown -> onOldLink = false; isKnown = true; runs++ }
    :: atomic { onOldLink && isTombstoned -> onOldLink = false }
    :: atomic { resumeAsked && isKnown -> resumeAsked = false }
    :: atomic {
        resumeAsked && !isKnown -> resumeAsked = false;
#ifndef NO_TOMBSTONE
        isTombstoned = true;
#endif
        unknownBoot = boot; unknownSaid = true }
    :: atomic { restarts < 1 -> restarts++; boot++; isKnown = false; isTombstoned = false; onOldLink = false }
    od
}

/* A request that is on its way when the verdict is given must not run afterwards. */
active proctype Monitor()
{
    atomic { saidNotRun -> assert(runs == 0) };
    atomic { saidNotRun && runs > 0 -> assert(false) }
}
