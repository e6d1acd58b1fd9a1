/* Lookup of request outcomes. */
#include "wp_code.h"

static const WPCodeInfo infos[] = {
#define X(name, code, status, ran, text) { code, status, WP_RAN_##ran, text },
    WP_CODES(X)
#undef X
};

const WPCodeInfo *wp_code_info(unsigned code)
{
    return &infos[code < WP_CODE_COUNT ? code : WP_ENDPOINT_FAILED];
}

const char *wp_ran_name(WPRan ran)
{
    static const char *const names[] = { "not_run", "ran", "unknown" };
    return names[ran];
}
