/* Ranges of settings. The unit is part of the field's name. */
#include "wp_settings.h"
#include "wp_code.h"

typedef struct Range {
    const char *field;
    double min, max;
    const char *allowed; /* allowed strings, separated by spaces; or NULL */
} Range;

static const Range ranges[] = {
    { "port", 1, 65535, NULL },
    { "peer_port", 1, 65535, NULL },
    { "admin_port", 1, 65535, NULL },
    { "http_port", 1, 65535, NULL },
    { "gossip_ms", 20, 60000, NULL },
    { "heartbeat_ms", 20, 60000, NULL },
    { "dead_ms", 100, 120000, NULL },
    { "fanout", 1, 16, NULL },
    { "watchers_per_zone", 1, 16, NULL },
    { "drain_s", 1, 86400, NULL },
    { "boxes_poll_ms", 50, 600000, NULL },
    { "bill_batch_ms", 10, 600000, NULL },
    { "bill_limit", 1, 10000000, NULL },
    { "once_settle_ms", 0, 600000, NULL },
    { "once_skew_ms", 0, 60000, NULL },
    { "once_window_s", 1, 86400, NULL },
    { "clock_skew_ms", -600000, 600000, NULL },
    { "log_format", 0, 0, "kv json" },
    { "log_level", 0, 0, "debug info warn error" },
    { "max_body_kb", 1, 4096, NULL },
    { "max_head_kb", 1, 1024, NULL },
    { "caller_timeout_s", 1, 86400, NULL },
    { "balance", 0, 0, "probe random round_robin least_reported two_choices" },
    { "choose", 0, 0, "cost strongest cheapest static" },
    { "retry_share", 0, 1, NULL },
    { "window_kb", 4, 65536, NULL },
    { "slots", 1, 10000, NULL },
    { "queue", 0, 100000, NULL },
    { "silent_timeout_ms", 100, 3600000, NULL },
    { "step_us", 1, 10000000, NULL },
    { "writes_per_s", 1, 1000000, NULL },
    { "reads_per_s", 1, 1000000, NULL },
    { "lag_ms", 0, 600000, NULL },
    { "metrics_port", 1, 65535, NULL },
    { "listed_port", 0, 65535, NULL },
    { "retry_ratio", 0, 10, NULL },
    { "retry_slack", 0, 1000000, NULL },
    { "retry_window_s", 0.1, 600, NULL },
    { "session_s", 0, 86400, NULL },
    { "exposure_share", 0, 1, NULL },
    { "exposure_slack", 0, 1000000, NULL },
    { "log_kb_per_s", 0, 1000000, NULL },
    { "confidence_even", 0, 100, NULL },
    { "confidence_spread", 0.1, 100, NULL },
    { "answer_value", 0, 1000, NULL },
    { "request_value", 0, 1000, NULL },
    { "strain_from", 0, 100, NULL },
    { "strain_weight", 0, 10000, NULL },
    { "weigh_zone", 0, 100, NULL },
    { "weigh_zone_kb", 0, 100, NULL },
    { "weigh_time", 0, 100, NULL },
    { "weigh_home", 0, 100, NULL },
    { "weigh_read_kt", 0, 100, NULL },
    { "weigh_move_kt", 0, 100, NULL },
    { "weigh_slow", 0, 100, NULL },
    { "weigh_pause", 0, 100, NULL },
    { "choices", 0, 1000, NULL },
    { "contention", 0, 0, "off on auto" },
    { "weigh_zone_kb_contended", 0, 100, NULL },
    { "strain_weight_contended", 0, 10000, NULL },
    { "apply_ms", 200, 600000, NULL },
    { "dwell_part", 0, 1, NULL },
    { "cold_overshoot", 0, 1000, NULL },
    { "cold_slack", 0, 100000, NULL },
    { "usage_window_s", 0, 86400, NULL },
    { "usage_late_s", 0, 86400, NULL },
    { "duty_lease_ms", 1, 600000, NULL },
    { "memory_mb", 0, 1048576, NULL },
    { "arrival_s", 1, 86400, NULL },
};

static const Range *find_range(const char *field)
{
    for (size_t i = 0; i < WP_COUNT(ranges); i++)
        if (!strcmp(ranges[i].field, field))
            return &ranges[i];
    return NULL;
}

/* Sets `out` to the value of a field; returns false if its type is not numeric.
 */
static bool numeric_value(const ProtobufCFieldDescriptor *f, const void *at,
                          double *out)
{
    switch (f->type) {
    case PROTOBUF_C_TYPE_UINT32:
        *out = *(const uint32_t *)at;
        return true;
    case PROTOBUF_C_TYPE_INT32:
        *out = *(const int32_t *)at;
        return true;
    case PROTOBUF_C_TYPE_UINT64:
        *out = (double)*(const uint64_t *)at;
        return true;
    case PROTOBUF_C_TYPE_DOUBLE:
        *out = *(const double *)at;
        return true;
    default:
        return false;
    }
}

static bool is_allowed(const char *allowed, const char *value)
{
    g_auto(GStrv) list = g_strsplit(allowed, " ", -1);
    return g_strv_contains((const char *const *)list, value);
}

/* Checks a value against the allowed strings or the range of its field; a field
   without a rule passes. Returns false and sets the error otherwise. */
static bool check_field(const ProtobufCFieldDescriptor *f, const void *at,
                        const char *file, GError **error)
{
    const Range *r = find_range(f->name);
    double v;
    if (!r)
        return true;
    if (r->allowed && f->type == PROTOBUF_C_TYPE_STRING &&
        !is_allowed(r->allowed, *(char *const *)at)) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "%s: %s: expected one of: %s", file, f->name, r->allowed);
        return false;
    }
    /* Written so that NaN fails as well. */
    if (!r->allowed && numeric_value(f, at, &v) &&
        !(v >= r->min && v <= r->max)) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "%s: %s: expected %g to %g, not %g", file, f->name, r->min,
                    r->max, v);
        return false;
    }
    return true;
}

/* Checks all fields of a message and of its nested ones, except repeated
   fields. Returns false and sets the error at the first invalid one. */
static bool check_message(const ProtobufCMessage *m, const char *file,
                          GError **error)
{
    for (unsigned i = 0; i < m->descriptor->n_fields; i++) {
        const ProtobufCFieldDescriptor *f = &m->descriptor->fields[i];
        const void *at = WP_FIELD(m, f);
        if (f->label == PROTOBUF_C_LABEL_REPEATED)
            continue;
        if (f->type == PROTOBUF_C_TYPE_MESSAGE) {
            const ProtobufCMessage *sub = *(ProtobufCMessage *const *)at;
            if (sub && !check_message(sub, file, error))
                return false;
        } else if (!check_field(f, at, file, error)) {
            return false;
        }
    }
    return true;
}

void *wp_settings_read(const ProtobufCMessageDescriptor *type, WPStr text,
                       const char *file, GError **error)
{
    ProtobufCMessage *m = wp_yaml_read(type, text, file, error);
    if (m && !check_message(m, file, error)) {
        wp_pb_free(m);
        return NULL;
    }
    return m;
}

/* Appends a line for each field, with its allowed values; those of a nested
   message follow its name. */
static void append_help(const ProtobufCMessageDescriptor *type, GString *out)
{
    for (unsigned i = 0; i < type->n_fields; i++) {
        const ProtobufCFieldDescriptor *f = &type->fields[i];
        const Range *r = find_range(f->name);
        if (f->type == PROTOBUF_C_TYPE_MESSAGE &&
            f->label != PROTOBUF_C_LABEL_REPEATED) {
            g_string_append_printf(out, "%s:\n", f->name);
            append_help(f->descriptor, out);
            continue;
        }
        g_string_append_printf(
            out, "  %-20s %s", f->name,
            f->label == PROTOBUF_C_LABEL_REQUIRED   ? "required"
            : f->label == PROTOBUF_C_LABEL_REPEATED ? "list"
                                                    : "optional");
        if (r && r->allowed)
            g_string_append_printf(out, ", one of: %s", r->allowed);
        else if (r)
            g_string_append_printf(out, ", %g to %g", r->min, r->max);
        g_string_append_c(out, '\n');
    }
}

char *wp_settings_help(const ProtobufCMessageDescriptor *type)
{
    GString *out = g_string_new(NULL);
    append_help(type, out);
    return g_string_free(out, FALSE);
}
