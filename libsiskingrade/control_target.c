#include "control_config.h"
#include "control_confirm.h"
#include "control_departures.h"
#include "control_evacuation.h"
#include "control_internal.h"
#include "control_probe.h"
#include "log.h"

/* The local target: handles its announcements and publishes its state to the other nodes and to the
   data task. */

sgr_target_state_t
sgr_control_target_state (const sgr_control_t *control)
{
  const sgr_local_target_t *local = &control->announce.local;
  bool can_serve = sgr_control_evacuation_may_serve (control->evacuation)
                   && !sgr_control_probe_is_failing (control->probe);

  if (local->service[0] == '\0')
    return control->announce.has_left ? SGR_TARGET_LEFT : SGR_TARGET_NONE;
  /* Nodes that do not know of the evacuation yet avoid a target that drains. */
  if (sgr_control_evacuation_is_own (control->evacuation))
    return SGR_TARGET_DRAINING;
  return can_serve ? local->state : SGR_TARGET_NONE;
}

void
sgr_control_self_update (sgr_control_t *control)
{
  const sgr_local_target_t *local = &control->announce.local;
  const sgr_config_state_t *state = sgr_control_config_state (control->config);
  sgr_membership_update_t update = { .target_state = sgr_control_target_state (control),
                                     .service = local->service,
                                     .slots = local->slots,
                                     .config_revision = sgr_config_state_revision (state) };

  /* The result is ignored: after the node has announced its leave, its record is final and the
     update returns SGR_ERR_CONFLICT, which is no error here. */
  sgr_membership_self_update (sgr_membership_io_membership (control->membership),
                              sgr_clock_monotonic_us (), &update);
}

void
sgr_control_target_changed (sgr_control_t *control)
{
  const sgr_local_target_t *local = &control->announce.local;
  bool is_present = local->service[0] != '\0';

  sgr_log_info ("target-changed", "service=%s instance=%s state=%s slots=%u sequence=%lu",
                is_present ? local->service : "-", is_present ? local->instance : "-",
                sgr_target_state_name (is_present ? local->state : SGR_TARGET_LEFT), local->slots,
                control->announce.sequence);
  sgr_control_self_update (control);
  sgr_control_snapshot_now (control);
}

void
sgr_control_announce_renewed (sgr_control_t *control, bool is_changed)
{
  if (is_changed)
    sgr_control_target_changed (control);
  if (control->announce.local.service[0] != '\0')
    sgr_timer_arm (control->timers, &control->announce_timer, control->announce.expires_us);
}

void
sgr_control_announce_timer (void *ctx, uint64_t now_us)
{
  sgr_control_t *control = ctx;

  if (sgr_announce_expire (&control->announce, now_us))
    sgr_control_target_changed (control);
  else if (control->announce.local.service[0] != '\0')
    sgr_timer_arm (control->timers, &control->announce_timer, control->announce.expires_us);
}

/* Whether the service of an announcement has a limit for cold targets. Without one, what
   announcements say of it is ignored, so that it causes no snapshots. */
static bool
has_cold_limit (const sgr_control_t *control, const sgr_announcement_t *announcement)
{
  const sgr_policy_t *policy = sgr_config_state_policy (sgr_control_config_state (control->config),
                                                        announcement->local.service);

  return policy != NULL && policy->cold_calls_per_s > 0;
}

sgr_result_t
sgr_control_target_announce (sgr_control_t *control, const sgr_announcement_t *announcement)
{
  sgr_announcement_t applied = *announcement;
  uint64_t ttl_us = control->settings->announce_ttl_ms * SGR_USEC_PER_MSEC;
  bool is_changed;
  sgr_result_t result;

  if (control->is_stopping)
    return SGR_ERR_UNAVAILABLE;
  if (!sgr_control_departures_may_register (control->departures, announcement))
    return SGR_OK;
  applied.has_cold = announcement->has_cold && has_cold_limit (control, announcement);
  result = sgr_announce_apply (&control->announce, sgr_clock_monotonic_us (), ttl_us, &applied,
                               &is_changed);
  if (result == SGR_OK)
    sgr_control_announce_renewed (control, is_changed);
  return result;
}

void
sgr_control_target_leave (sgr_control_t *control, const char *instance, uint64_t started_ms)
{
  uint64_t now_ms = sgr_clock_wall_ms ();
  sgr_announcement_t kept;
  bool is_changed;

  if (instance != NULL)
    is_changed = sgr_announce_instance_leave (&control->announce, instance, started_ms, now_ms);
  else
    {
      is_changed = sgr_announce_leave (&control->announce);
      if (sgr_control_departures_kept_take (control->departures, &kept))
        sgr_announce_instance_leave (&control->announce, kept.local.instance, kept.started_ms,
                                     now_ms);
    }
  if (is_changed)
    sgr_control_target_changed (control);
}

void
sgr_control_leave_acknowledge (sgr_control_t *control, h2o_req_t *req, sgr_control_reply_cb_t send)
{
  sgr_control_departures_reply (control->departures, req, send);
}

void
sgr_control_announcement_acknowledge (sgr_control_t *control,
                                      const sgr_announcement_t *announcement, h2o_req_t *req,
                                      sgr_control_reply_cb_t send)
{
  sgr_control_reply_t reply = { .result = SGR_OK };

  if (announcement->local.state == SGR_TARGET_DRAINING)
    sgr_control_departures_reply (control->departures, req, send);
  else if (sgr_control_departures_is_record_needed (control->departures, announcement))
    sgr_control_departures_kept_reply (control->departures, announcement, req, send);
  else
    {
      /* The addresses for confirmations are for one announcement each. */
      if (sgr_control_confirm_is_own_port (control->confirm, announcement->arrival_port))
        reply.announce_address = control->settings->targets.port != 0 ? control->settings->targets
                                                                      : control->settings->control;
      send (control, req, &reply);
    }
}
