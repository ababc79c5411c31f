/** \file
 * Defines all that an owner of a group keeps about it. A proxy owns a group when rendezvous hashing ranks it among the first k VMs for it.
 */
#pragma once

#include "Admission.h"
#include "ConnectionPool.h"
#include "Failover.h"
#include "GroupView.h"
#include "OwnerRequests.h"
#include "Probing.h"
#include "Quota.h"
#include "ReplicaAge.h"

namespace Figward {

/** State of one owned group. */
struct GroupOwner
{
    GroupConfig config_;
    unsigned rank_ = 0; ///< 0 for the first owner.
    bool leaving_ = false; ///< No longer among the owners: finishes what it has, takes nothing new.
    GroupView view_;
    ProbeState probes_;
    ReplicaAge ages_;
    FailoverState failover_;
    QuotaState quota_;
    ConnectionPool pool_;
    AdmissionQueue queue_;
    OwnerRequests requests_;
};

} // namespace Figward
