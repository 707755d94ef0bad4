/** State machine of one request: admission, claim, tries, retries and final result. */
@NullMarked
package org.limpetring.routing.request;

import org.jspecify.annotations.NullMarked;
