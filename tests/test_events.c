/* The events that a box keeps. */
#include "test.h"
#include "wp_events.h"

static void all_kept_events_of_a_request_are_found(void **state)
{
    WPEvents *e = wp_events_new("e1");
    (void)state;
    for (unsigned i = 0; i < 300; i++) {
        const WPTime now = { 0, 1000 + i };
        wp_events_add(e, now, WP_EVENT_RECEIVED, i % 100 ? "other" : "mine",
                      "%u", i);
    }
    json_t *list = wp_events_json(e, "mine", 2);
    assert_int_equal(json_array_size(list), 2);
    for (unsigned i = 0; i < 2; i++) {
        g_autofree char *text = g_strdup_printf("%u", (i + 1) * 100);
        const json_t *event = json_array_get(list, i);
        assert_string_equal(json_string_value(json_object_get(event, "text")),
                            text);
    }
    json_decref(list);
    list = wp_events_json(e, NULL, 5);
    assert_int_equal(json_array_size(list), 5);
    json_decref(list);
    wp_events_free(e);
}

TESTS_MAIN(T(all_kept_events_of_a_request_are_found))
