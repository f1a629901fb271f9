/* A request on a link that may be replaced, and the report of the endpoint process that it does not know the request.
 *
 * Checked: once the entry reports "not run", the request has not been executed and never will be, even if it is still in transit.
 * Guards that can be disabled; each must then yield a counterexample:
 *   -DNO_TOMBSTONE   the endpoint process does not remember that it reported "unknown"
 *   -DNO_BOOT_ID     a report of a restarted process also counts for the process before the restart
 */
bool isRequestInTransit = false;
bool isResumeRequested = false;
bool isUnknownReported = false;
byte bootOfUnknown = 0;
byte bootId = 1;
byte bootIdAtSend = 0;
bool isTombstoned = false;
bool isKnown = false;
byte executionCount = 0;
bool reportedNotRun = false;

active proctype Entry()
{
    atomic { bootIdAtSend = bootId; isRequestInTransit = true };
    /* the link times out and is replaced; the old one may still deliver the request */
    isResumeRequested = true;
    if
    :: isUnknownReported ->
        atomic {
            if
#ifdef NO_BOOT_ID
            :: true -> reportedNotRun = true
#else
            :: bootOfUnknown == bootIdAtSend -> reportedNotRun = true
#endif
            :: else /* may have been executed */
            fi
        }
    :: isKnown && isResumeRequested == false -> skip /* resumed */
    fi
}

active proctype EndpointProcess()
{
    byte restartCount = 0;
end:
    do
    :: atomic { isRequestInTransit && !isTombstoned && !isKnown -> isRequestInTransit = false; isKnown = true; executionCount++ }
    :: atomic { isRequestInTransit && isTombstoned -> isRequestInTransit = false }
    :: atomic { isResumeRequested && isKnown -> isResumeRequested = false }
    :: atomic {
        isResumeRequested && !isKnown -> isResumeRequested = false;
#ifndef NO_TOMBSTONE
        isTombstoned = true;
#endif
        bootOfUnknown = bootId; isUnknownReported = true }
    :: atomic { restartCount < 1 -> restartCount++; bootId++; isKnown = false; isTombstoned = false; isRequestInTransit = false }
    od
}

/* A request that is in transit when "not run" is reported must not be executed afterwards. */
active proctype Monitor()
{
    atomic { reportedNotRun -> assert(executionCount == 0) };
    atomic { reportedNotRun && executionCount > 0 -> assert(false) }
}
