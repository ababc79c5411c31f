/** \file
 * Defines the state that an owner keeps of a group. A proxy owns a group if rendezvous hashing ranks it among the first k VMs for the group.
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

/** State of an owned group. */
struct GroupOwner
{
    GroupConfig config_;
    unsigned rank_ = 0; ///< Rank among the owners; 0 for the first owner.
    bool leaving_ = false; ///< This proxy is no longer an owner: it finishes the requests it has and accepts no new ones.
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
