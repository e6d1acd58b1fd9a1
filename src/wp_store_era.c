/* The era of the store. */
#include "wp_store_era.h"

WPStoreEraChange wp_store_era_observe(WPStoreEra *e, const char *text)
{
    uint64_t number;
    if (!text)
        return WP_STORE_ERA_SAME;
    if (!wp_str_uint(wp_str_trim(wp_str(text)), &number) || number > WP_ERA_MAX)
        return WP_STORE_ERA_INVALID;
    if (number < e->number)
        return WP_STORE_ERA_LATE;
    if (number == e->number)
        return WP_STORE_ERA_SAME;
    e->number = number;
    return WP_STORE_ERA_RISEN;
}
