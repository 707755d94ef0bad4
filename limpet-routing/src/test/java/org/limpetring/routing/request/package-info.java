/** Tests of the request state machine. */
@NullMarked
package org.limpetring.routing.request;

import org.jspecify.annotations.NullMarked;
