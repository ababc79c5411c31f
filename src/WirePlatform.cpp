#include "WirePlatform.h"

namespace Figward::Wire {

void encode(const VmInfo &vm, v1::VmInfo &out)
{
    out.set_id(vm.id_.value());
    out.set_zone(vm.zone_.value());
    out.set_address(vm.address_);
    out.set_leaving(vm.leaving_);
}

VmInfo decode(const v1::VmInfo &in)
{
    return {VmId(in.id()), ZoneId(in.zone()), in.address(), in.leaving()};
}

v1::PlatformStatus encode(PlatformStatus status)
{
    switch (status) {
    case PlatformStatus::Ok:
        return v1::PLATFORM_STATUS_OK;
    case PlatformStatus::NotFound:
        return v1::PLATFORM_STATUS_NOT_FOUND;
    case PlatformStatus::Conflict:
        return v1::PLATFORM_STATUS_CONFLICT;
    case PlatformStatus::Unavailable:
        return v1::PLATFORM_STATUS_UNAVAILABLE;
    case PlatformStatus::Lost:
        break;
    }
    return v1::PLATFORM_STATUS_UNSPECIFIED;
}

absl::StatusOr<PlatformStatus> decode(v1::PlatformStatus in)
{
    switch (in) {
    case v1::PLATFORM_STATUS_OK:
        return PlatformStatus::Ok;
    case v1::PLATFORM_STATUS_NOT_FOUND:
        return PlatformStatus::NotFound;
    case v1::PLATFORM_STATUS_CONFLICT:
        return PlatformStatus::Conflict;
    case v1::PLATFORM_STATUS_UNAVAILABLE:
        return PlatformStatus::Unavailable;
    default:
        return absl::InvalidArgumentError("platform status");
    }
}

absl::StatusOr<PlatformAnswer> decode(CallId call, v1::ObjectAnswer &&in)
{
    const absl::StatusOr<PlatformStatus> status = decode(in.status());
    if (!status.ok()) {
        return status.status();
    }
    return PlatformAnswer{call, *status, ObjectVersion(in.version()), std::move(*in.mutable_value()), {}};
}

absl::StatusOr<PlatformAnswer> decode(CallId call, const v1::ListVmsAnswer &in)
{
    const absl::StatusOr<PlatformStatus> status = decode(in.status());
    if (!status.ok()) {
        return status.status();
    }
    PlatformAnswer answer{call, *status, {}, {}, {}};
    for (const v1::VmInfo &vm : in.vms()) {
        answer.vms_.push_back(decode(vm));
    }
    return answer;
}

v1::ObjectAnswer encodeObject(const PlatformAnswer &answer)
{
    v1::ObjectAnswer out;
    out.set_status(encode(answer.status_));
    out.set_version(answer.version_.value());
    out.set_value(answer.value_);
    return out;
}

v1::ListVmsAnswer encodeVms(const PlatformAnswer &answer)
{
    v1::ListVmsAnswer out;
    out.set_status(encode(answer.status_));
    for (const VmInfo &vm : answer.vms_) {
        encode(vm, *out.add_vms());
    }
    return out;
}

} // namespace Figward::Wire
