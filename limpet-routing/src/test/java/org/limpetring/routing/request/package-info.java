/** Tests of the request machine. */
@NullMarked
package org.limpetring.routing.request;

import org.jspecify.annotations.NullMarked;
